"""Servers that start, move, drain and come back while requests and sessions are under way."""

from __future__ import annotations

import unittest

from scenario import PLAYING, Scenario

LATE = {"DialTimeoutUs": 8_000_000}  # the kernel dials again after 1 and 3 s: so long a dial is out


class Starts(Scenario):
    def test_what_was_written_after_a_start_is_not_cut_by_the_news_of_it(self) -> None:
        """It waited for its connection while the server started; what stands there is the new process's."""
        self.play(
            """
            v1 send SETUP s1 kind=exam left=9000
            b expect LINE purpose="to
            e0 send OPEN
            e0 expect SETUP s1
            e0 send ANSWER s1 body=one
            v1 expect 200 s1
            c send e0 state=up started=open
            c expect FOLLOWED follow=2
            v1 expect NOTHING
            e0 send RELEASE s1 cause=16
            v1 expect TEARDOWN s1 why=cause=16
        """,
            rules=LATE,
            debug=True,
            e0="silent",
        )

    def test_a_server_that_dies_between_set_up_and_answer_fails_what_is_paid_and_stands_for_nobody(
        self,
    ) -> None:
        self.play(
            PLAYING
            + """
            e0 wait 1.1
            v2 send SETUP s2 kind=exam
            e0 expect SETUP s2
            e0 close all
            v2 expect 500 s2
            v1 expect TEARDOWN s1 why=cause=41
        """
        )

    def test_a_viewer_that_is_back_before_its_old_session_s_end_was_told_has_both(self) -> None:
        self.play(
            PLAYING
            + """
            v1 close reset
            v2 send SETUP s2 kind=exam again=1
            e0 expect SETUP s2
            e0 send ANSWER s2 body=two
            v2 expect 200 s2 body=two
            e0 send RELEASE s1 cause=41
            v2 expect TEARDOWN s1 why=cause=41
            e0 send RELEASE s2 cause=16
            v2 expect TEARDOWN s2 why=cause=16
        """
        )


class Moves(Scenario):
    def test_a_dial_to_the_old_address_tells_nothing_of_the_new_one(self) -> None:
        self.play(
            """
            v1 send SETUP s1 kind=exam left=9000
            b expect LINE purpose="to
            c send e0 state=up address=e1
            e1 expect OPENED
            e1 expect SETUP s1
            e1 send ANSWER s1 body=one
            v1 expect 200 s1 body=one
        """,
            rules={"DialTimeoutUs": 1_500_000},
            debug=True,
            e0="silent",
            e1="up",
        )

    def test_one_that_comes_up_late_at_the_old_address_is_not_used(self) -> None:
        self.play(
            """
            v1 send SETUP s1 kind=exam left=9000
            b expect LINE purpose="to
            c send e0 state=up address=e1
            c expect FOLLOWED follow=2
            e0 send OPEN
            e0 expect OPENED
            e1 expect SETUP s1
            e1 send ANSWER s1 body=one
            v1 expect 200 s1 body=one
            e0 expect NOTHING
        """,
            rules=LATE,
            debug=True,
            e0="silent",
            e1="up",
        )

    def test_a_list_that_lost_a_server_and_names_it_again_elsewhere(self) -> None:
        self.play(
            PLAYING
            + """
            c send e0 state=gone
            c send e0 state=up address=e1
            c expect FOLLOWED follow=3
            v1 send SETUP s2 kind=exam
            e1 expect SETUP s2
            e1 send ANSWER s2 body=two
            v1 expect 200 s2 body=two
            e0 send RELEASE s1 cause=16
            v1 expect TEARDOWN s1 why=cause=16
        """,
            e0="up",
            e1="up",
        )


class Drains(Scenario):
    def test_what_is_handed_over_while_its_server_drains_plays_on_to_its_end(self) -> None:
        self.play("""
            c send e0 state=draining
            c expect FOLLOWED follow=2
            v1 send SETUP s7 kind=clip at=e0
            e0 expect OPENED
            v1 expect NOTHING
            e0 send RELEASE s7 cause=16
            v1 expect TEARDOWN s7 why=cause=16
        """)


class Queues(Scenario):
    def test_set_ups_that_wait_for_a_connection_keep_to_what_it_may_carry(self) -> None:
        self.play(
            """
            v1 send SETUP s1 kind=exam left=9000
            v1 send SETUP s2 kind=exam left=9000
            v1 send SETUP s3 kind=exam left=9000
            v1 expect 453 s3
            e0 send OPEN
            e0 expect SETUP s1
            e0 expect SETUP s2
            e0 expect NOTHING
        """,
            rules={**LATE, "StreamsPerConn": 2},
            e0="silent",
        )


if __name__ == "__main__":
    unittest.main()
