"""Edge servers and coordinators of the real program that fail, fall silent or send spoilt answers."""

from __future__ import annotations

from scenario import PLAYING, Scenario


class Silence(Scenario):
    def test_a_machine_that_takes_no_connection_is_unreachable(self) -> None:
        self.play(
            """
            v1 send SETUP s1 kind=exam left=2500
            v1 expect 453 s1
        """,
            e0="silent",
        )

    def test_a_process_that_dies_ends_its_sessions(self) -> None:
        self.play(
            PLAYING
            + """
            e0 close all
            v1 expect TEARDOWN s1 why=cause=41
        """
        )

    def test_a_reset_connection_does_not_end_what_stands_at_a_process_that_lives(self) -> None:
        self.play(
            PLAYING
            + """
            e0 wait 1.1
            e0 close reset
            b expect LINE reason=reset
            e0 expect OPENED
            v1 expect NOTHING
            v1 send SETUP s2 kind=exam
            e0 expect SETUP s2
            e0 send ANSWER s2 body=two
            v1 expect 200 s2 body=two
            e0 send RELEASE s1 cause=16
            v1 expect TEARDOWN s1 why=cause=16
        """
        )

    def test_a_start_told_by_the_coordinator_ends_what_stood_before_it(self) -> None:
        self.play(
            PLAYING
            + """
            c send e0 state=up started=later
            v1 expect TEARDOWN s1 why=cause=41
        """
        )

    def test_a_machine_that_vanishes_ends_its_sessions(self) -> None:
        self.play(
            PLAYING
            + """
            e0 close silent
            v1 expect TEARDOWN s1 why=cause=41
        """
        )

    def test_a_set_up_that_times_out_has_its_machine_checked(self) -> None:
        self.play(
            PLAYING
            + """
            e0 close silent
            v1 send SETUP s2 kind=exam left=1000
            e0 expect SETUP s2
            v1 expect 500 s2
            e0 expect RELEASE s2 cause=16
            v1 expect TEARDOWN s1 why=cause=41
        """
        )

    def test_a_slow_edge_that_is_there_keeps_its_set_ups_and_sessions(self) -> None:
        self.play(
            PLAYING
            + """
            e0 wait 1.2
            v1 send SETUP s2 kind=exam left=4000
            e0 expect SETUP s2
            v1 send SETUP s3 kind=exam left=600
            e0 expect SETUP s3
            e0 expect RELEASE s3 cause=16
            v1 expect 500 s3
            e0 expect OPENED
            e0 send ANSWER s2 body=late
            v1 expect 200 s2 body=late
        """
        )

    def test_an_address_that_went_to_another_is_not_dialled_for_the_old_id(self) -> None:
        self.play("""
            c send e1 state=up address=e0
            c send e0 state=gone
            v1 wait 0.5
            v1 send SETUP s1 home=0 left=700
            v1 expect 453 s1
            v1 send SETUP s2 home=1 left=2000
            e0 expect OPENED
            e0 expect SETUP s2
        """)

    def test_an_id_that_moves_ends_there_what_is_open_there(self) -> None:
        self.play(
            """
            v1 send SETUP s1 kind=exam
            e0 expect OPENED
            e0 expect SETUP s1
            c send e0 state=up address=e1
            v1 wait 0.4
            v1 send SETUP s2 kind=exam
            e1 expect OPENED
            e1 expect SETUP s2
            e1 expect NOTHING
            e0 send ANSWER s1 body=old
            v1 expect 200 s1 body=old
            e1 send ANSWER s2 body=new
            v1 expect 200 s2 body=new
        """,
            e0="up",
            e1="up",
        )

    def test_nothing_new_goes_to_a_server_that_drains(self) -> None:
        self.play(
            PLAYING
            + """
            c send e0 state=draining
            c wait 0.5
            v1 send SETUP s2 left=800
            v1 expect 453 s2
        """
        )

    def test_a_malformed_update_does_not_hold_up_the_feed(self) -> None:
        self.play("""
            c send e0 state=nonsense
            c send e0 state=draining
            c wait 0.5
            v1 send SETUP s1 left=700
            v1 expect 453 s1
        """)

    def test_a_quiet_coordinator_is_asked_again_with_the_last_index(self) -> None:
        self.play("""
            c close quiet
            c expect ASKED follow=1
            c expect ASKED follow=1
            v1 send OPTIONS
            v1 expect 200
        """)

    def test_a_coordinator_that_stops_mid_event_is_asked_again(self) -> None:
        self.play("""
            c close 40
            c send e0 state=draining
            c wait 2.5
            v1 send SETUP s1 left=700
            v1 expect 453 s1
        """)


class Spoilt(Scenario):
    """Good answers that come spoilt, or with more than is theirs."""

    def test_a_second_copy_does_not_cut_what_stands(self) -> None:
        self.play(
            PLAYING
            + """
            e0 send ANSWER s1 body=answer
            e0 expect NOTHING
            e0 send RELEASE s1 cause=16
            v1 expect TEARDOWN s1 why=cause=16
        """
        )

    def test_an_answer_under_an_unknown_id_is_dropped(self) -> None:
        self.play("""
            v1 send SETUP s1 kind=exam
            e0 expect OPENED
            e0 expect SETUP s1
            e0 send ANSWER s99 body=whose
            e0 send ANSWER s1 body=mine
            v1 expect 200 s1 body=mine
            e0 expect NOTHING
        """)

    def test_what_may_stand_after_a_spoilt_answer_is_released_and_all_else_goes_on(self) -> None:
        heard = b"\x00\x09\x10" + bytes(8)  # a whole message, so that the connection is not mute
        for raw in (heard + b"\x00\x20\x09half", b"\x00\x0b\xee" + bytes(10), b"\xff\xff\x09"):
            with self.subTest(raw):
                self.play(
                    PLAYING
                    + f"""
                    e0 wait 1.1
                    v1 send SETUP s2 kind=exam
                    e0 expect SETUP s2
                    v1 send SETUP s3 kind=exam
                    e0 expect SETUP s3
                    e0 send RAW {raw!r}
                    v1 expect 500 s2
                    v1 expect 500 s3
                    e0 expect OPENED
                    e0 expect RELEASE s2 cause=31
                    e0 expect RELEASE s3 cause=31
                    e0 send RELEASE s1 cause=16
                    v1 expect TEARDOWN s1 why=cause=16
                """
                )

    def test_what_is_safe_to_repeat_is_refused_not_failed_after_a_spoilt_answer(self) -> None:
        self.play(
            PLAYING
            + f"""
            v1 send SETUP s3 kind=clip left=1500
            e0 expect SETUP s3
            e0 send RAW {b"fff"!r}
            v1 expect 453 s3
        """
        )

    def test_a_mute_connection_is_replaced_before_its_set_ups_run_out_of_time(self) -> None:
        self.play("""
            v1 send SETUP s1 kind=exam left=4000
            e0 expect OPENED
            e0 expect SETUP s1
            e0 expect OPENED
            v1 send SETUP s2 kind=exam left=4000
            e0 expect SETUP s2
            e0 send ANSWER s2 body=two
            v1 expect 200 s2 body=two
            v1 expect 500 s1
        """)
