"""What one broker believes of all: failure detection, joining, leaving, returning. Pure, in the step form.

Each member is watched by the members before it on a few rings (Suresh et al., "Stable and Consistent Membership at
Scale with Rapid", 2018), so that what a broker sends and the time until a death is seen do not grow with the fleet.
Suspicion that the accused can refute, news carried by the pings themselves and pings by way of others are SWIM's (Das
et al., 2002); that a process which was away itself accuses nobody is Lifeguard's (Dadgar et al., 2018). A death takes a
second watcher that says the same, so one broker with a bad line buries nobody. ``docs/membership/design.md`` weighs it.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import islice

import msgspec
from xxhash import xxh3_64_intdigest

from lotuspick.membership.model import (
    MOST_RECORDS,
    Ack,
    Changed,
    Digest,
    Displaced,
    MembershipError,
    Message,
    News,
    Ping,
    Record,
    Relay,
    Rules,
    Stalled,
    State,
    Suspicion,
    Sync,
    checked,
)
from lotuspick.state_machine import (
    CommandReceived,
    Effect,
    Event,
    MessageReceived,
    Notify,
    PersistRecord,
    ProcessStarted,
    SendMessage,
    StartTimer,
    TimerFired,
    WriteCommitted,
)

PERIOD, LIFE = "period", "life"
HELPERS = 2  # brokers asked to ping one that does not answer; twice as many once it is accused
MOST_RELAYED = 256  # pings for others that are waited for
REFUSED = 64  # names of peers whose messages were refused: counted, the oldest forgotten


@dataclass(frozen=True, slots=True)
class Leave:
    """Asked: say goodbye."""


@dataclass(frozen=True, slots=True)
class Drain:
    """Asked: take a member out of the fleet, whether it is there or dead for good. It stays out until a later process
    comes under its name."""

    name: str


@dataclass(frozen=True, slots=True)
class Begin:
    """Asked at the start, after ``Started``: who this broker is, and at which addresses others may be found."""

    name: str
    address: str
    seeds: tuple[str, ...] = ()
    zone: str = ""
    version: str = ""
    offers: tuple[str, ...] = ()


@dataclass(slots=True)
class Doubt:
    """A member that is accused: since when without a break, and who says so, each with the time of its last word."""

    since_us: int
    by: dict[str, int] = field(default_factory=dict)


class Members:
    """One broker's view. Peers are named by the addresses of their links."""

    def __init__(self, rules: Rules | None = None) -> None:
        self.rules = rules or Rules()
        self.own: Record | None = None
        self.seeds: tuple[str, ...] = ()
        self.records: dict[str, Record] = {}  # by name; this broker's own is among them
        self.since: dict[str, int] = {}  # when each was last changed here
        self.joined = False  # an answer of the fleet has come, or there is none to be asked
        self.displaced = self.left = False
        self.because: dict[str, tuple[str, str]] = {}  # who said so when each was last changed here, and why
        self.accusations = 0  # of others, by this broker
        self.false_accusations = 0  # those of them that were refuted
        self.refutations = 0  # of what others said of this broker
        self.refused: dict[str, int] = {}  # messages that could not be used, by peer
        self._random = random.Random(0)
        self._life = 0
        self._rings: list[list[str]] = []
        self._places: dict[str, tuple[int, ...]] = {}  # of each member on the rings
        self._stale = False  # who is alive has changed since the rings were drawn
        self._heard: dict[str, int] = {}  # whom this broker watches, and the last sign of life of each
        self._doubts: dict[str, Doubt] = {}
        self._accused: dict[str, int] = {}  # by this broker, and since when
        self._deaf: dict[str, int] = {}  # who lately said to hear nothing of this broker, and when
        # What is to be told to others, by how often it was told, and how often each was.
        levels = 1 + self.rules.spread * MOST_RECORDS.bit_length()
        self._gossip: list[dict[tuple[str, str], News]] = [{} for _ in range(levels)]
        self._told: dict[tuple[str, str], int] = {}
        self._relayed: dict[int, tuple[str, int]] = {}  # pings for others: who asked, under which number
        self._number = 0
        self._period_us = self._synced_us = 0
        self._out: list[Effect] = []
        self._now = 0

    # ---- the step -----------------------------------------------------------------------------------------

    def step(self, now: int, event: Event) -> Sequence[Effect]:
        """Take one event; see :mod:`lotuspick.state_machine`."""
        self._now, self._out = now, []
        match event:
            case ProcessStarted():
                self._random = random.Random(event.seed)
                self._life = int(event.records.get(LIFE, b"0")) + 1
            case CommandReceived(command=Begin() as begin):
                self._begin(begin)
            case CommandReceived(command=Leave()):
                self._leave()
            case CommandReceived(command=Drain(name=name)) if self._takes_part:
                self._drain(name)
            case TimerFired(timer=timer) if timer == PERIOD and self._takes_part:
                self._period()
            case MessageReceived(peer=peer, message=message) if self._takes_part:
                try:
                    self._message(peer, message)
                except MembershipError:
                    self.refused[peer] = self.refused.pop(peer, 0) + 1
                    if len(self.refused) > REFUSED:
                        del self.refused[next(iter(self.refused))]
            case WriteCommitted() | TimerFired() | MessageReceived() | CommandReceived():
                pass
        return self._out

    @property
    def _takes_part(self) -> bool:
        return self.own is not None and not self.displaced and not self.left

    def alive(self) -> list[Record]:
        """Those who are believed to be there, this broker included, by name."""
        return sorted(
            (each for each in self.records.values() if each.state is State.ALIVE), key=lambda each: each.name
        )

    def reached(self) -> list[Record]:
        """Those with whom this broker hears and is heard, as far as it knows: itself, and not who is accused, nor who
        accuses it. One that is cut off declares nobody dead where it is alone to say so, but it reaches nobody."""
        return [
            each for each in self.alive() if each.name not in self._doubts and each.name not in self._deaf
        ]

    def accused(self) -> dict[str, tuple[str, ...]]:
        """Who is accused at present, and by whom."""
        return {name: tuple(sorted(doubt.by)) for name, doubt in self._doubts.items()}

    def watched(self, name: str, now: int) -> dict[str, object]:
        """Why this broker believes what it does of a member, at a time (us): who watches it, since when this broker has
        heard nothing of it where it is among them, and who accuses it since when (all in ms)."""
        told: dict[str, object] = {"watchers": sorted(self._watchers(name))}
        if name in self._heard:
            told["silent_ms"] = (now - self._heard[name]) // 1_000
        doubt = self._doubts.get(name)
        if doubt is not None:
            told["doubted_ms"] = (now - doubt.since_us) // 1_000
            told["accused_ms"] = {by: (now - at_us) // 1_000 for by, at_us in sorted(doubt.by.items())}
        if name in self._deaf:
            told["deaf_ms"] = (now - self._deaf[name]) // 1_000
        return told

    # ---- start and end ------------------------------------------------------------------------------------

    def _begin(self, begin: Begin) -> None:
        self.seeds = tuple(each for each in begin.seeds if each != begin.address)
        self.joined = not self.seeds
        self.own = checked(
            Record(
                begin.name,
                self._life,
                self._random.getrandbits(63),
                0,
                State.ALIVE,
                begin.address,
                begin.zone,
                begin.version,
                begin.offers,
            )
        )
        self._out.append(PersistRecord(LIFE, b"%d" % self._life))  # before any message that claims this life
        self._period_us = self._synced_us = self._now
        self._take(self.own, begin.name, "start")
        self._out.append(StartTimer(PERIOD, self._random.randrange(1, self.rules.period_us + 1)))
        self._ask_seeds()

    def _ask_seeds(self) -> None:
        """What the fleet remembers of this name is learned before anything is claimed under it."""
        for seed in self.seeds:
            self._send(seed, Sync([], answer=True), sure=True)

    def _leave(self) -> None:
        if self.own is None or self.left:
            return
        self._gone(
            msgspec.structs.replace(self.own, state=State.LEFT, turn=self.own.turn + 1), self.own.name, "left"
        )

    def _gone(self, gone: Record, by: str, why: str) -> None:
        """This broker is out of the fleet: the last that it says."""
        told = [each.address for each in self.alive() if each.name != gone.name]
        for address in self._random.sample(told, min(len(told), max(3, self.rules.watchers))):
            self._send(address, Sync([gone]), sure=True)
        self.own, self.left = gone, True
        self._take(gone, by, why)

    def _drain(self, name: str) -> None:
        """An operator's word. One that is there hears it with the news, and leaves."""
        record = self.records.get(name)
        if name == self._own_name:
            self._leave()
        elif record is not None and record.state is not State.LEFT:
            gone = msgspec.structs.replace(record, state=State.LEFT, turn=record.turn + 1)
            self._send(record.address, Sync([gone]), sure=True)
            self._take(gone, self._own_name, "drained")

    def _rise(self, over: Record) -> None:
        """This process is the latest under its name: take a life above one that the fleet remembers."""
        assert self.own is not None
        self._life = max(self._life, over.life) + 1
        self._out.append(PersistRecord(LIFE, b"%d" % self._life))
        self.own = msgspec.structs.replace(self.own, life=self._life, turn=0)
        self._take(self.own, self.own.name, "the fleet remembers an earlier life")

    # ---- what is believed ---------------------------------------------------------------------------------

    def _take(self, record: Record, by: str, why: str) -> None:
        """Take what is said of a member, if it stands against what is believed."""
        own, before = self.own, self.records.get(record.name)
        if own is not None and not self.joined and record.name == own.name and record.process != own.process:
            if record.life >= own.life:
                self._rise(record)  # an earlier self: its process is the latest under the name
            return
        if before is not None and not record.beats(before):
            return
        checked(record)
        if own is not None and record.name == own.name and record != own:
            self._of_self(record, by, why)
            return
        self.records[record.name] = record
        self.since[record.name] = self._now
        self.because[record.name] = by, why
        self._doubts.pop(record.name, None)  # of an earlier turn, or of one that is dead by now
        if record.name in self._accused:
            del self._accused[record.name]
            self.false_accusations += record.state is State.ALIVE
        self._tell_others(record)
        if before is None or (before.process, before.state, before.address) != (
            record.process,
            record.state,
            record.address,
        ):
            self._out.append(Notify(Changed(record, by, why)))
            self._stale = True
        if record.state is not State.ALIVE:
            self._heard.pop(record.name, None)  # no longer watched, though the rings are not drawn anew yet
            self._bury()

    def _of_self(self, record: Record, by: str, why: str) -> None:
        """Others say of this broker's name what it did not say itself."""
        own = self.own
        assert own is not None
        if record.process == own.process:
            if record.state is State.LEFT:  # drained
                self._gone(record, by, why)
            elif record.state is State.DEAD:  # refuted
                self.refutations += 1
                self.own = msgspec.structs.replace(own, turn=record.turn + 1)
                self._take(self.own, own.name, "refuted")
        elif record.state is not State.ALIVE or record.address == own.address:
            self._rise(
                record
            )  # an earlier self that nobody told of on joining: dead, or where this one is now
        else:
            self.displaced = True
            self.records[record.name] = record
            self._out.append(Notify(Displaced(record)))

    def _bury(self) -> None:
        gone = [each for each in self.records.values() if each.state is not State.ALIVE]
        old = [each for each in gone if self._now - self.since[each.name] > self.rules.forget_us]
        if len(gone) - len(old) > self.rules.graveyard:
            old = sorted(gone, key=lambda each: self.since[each.name])[: len(gone) - self.rules.graveyard]
        for each in old:
            del self.records[each.name], self.since[each.name], self.because[each.name]

    def _redraw(self) -> None:
        """Draw the rings anew, once a period at most: in a large fleet many come and go together."""
        self._stale = False
        names = [each.name for each in self.alive()]
        self._places = {
            name: self._places.get(name)
            or tuple(xxh3_64_intdigest(name.encode(), seed=ring) for ring in range(self.rules.watchers))
            for name in names
        }
        self._rings = [
            sorted(names, key=lambda name: (self._places[name][ring], name))
            for ring in range(self.rules.watchers)
        ]
        self._look()

    def _look(self) -> None:
        """Whom this broker watches: on each ring the next, and past those that are accused the one after them, so that
        a row of dead ones is not found out one death after another."""
        assert self.own is not None
        subjects: dict[str, None] = {}
        for ring in self._rings:
            if self.own.name not in ring:
                continue
            at = ring.index(self.own.name)
            for step in range(1, len(ring)):
                name = ring[(at + step) % len(ring)]
                record = self.records.get(name)
                if record is not None and record.state is State.ALIVE:
                    subjects[name] = None
                    if name not in self._doubts:
                        break
        self._heard = {name: self._heard.get(name, self._now) for name in subjects}
        for name in self._accused.keys() - subjects.keys():
            del self._accused[name]

    def _watchers(self, name: str) -> set[str]:
        """Those before a member on the rings."""
        return {ring[ring.index(name) - 1] for ring in self._rings if name in ring} - {name}

    # ---- each period --------------------------------------------------------------------------------------

    def _period(self) -> None:
        rules, away_us = self.rules, self._now - self._period_us - self.rules.period_us
        self._period_us = self._now
        self._out.append(StartTimer(PERIOD, rules.period_us))
        if away_us > rules.period_us:
            # What came meanwhile has not been read yet: nobody is silent but this process itself.
            self._heard = dict.fromkeys(self._heard, self._now)
            self._accused.clear()
            for doubt in self._doubts.values():
                doubt.since_us = self._now
            self._out.append(Notify(Stalled(away_us)))
        if self._stale:
            self._redraw()
        self._accuse()
        self._judge()
        for name in list(self._heard):
            self._ping(name)
        if self._now - self._synced_us >= rules.sync_us:
            self._synced_us = self._now
            self._exchange()

    def _ping(self, name: str) -> None:
        accused = name in self._accused
        for _ in range(1 + accused):  # what is at stake is worth more: each may be lost
            self._number += 1
            self._send(self.records[name].address, Ping(self._number, self._news(name)))
        if self._now - self._heard[name] >= self.rules.silent_us // 2:
            others = [
                each.address
                for each in self.alive()
                if each.name not in (name, self._own_name) and each.name not in self._doubts
            ]
            for address in self._random.sample(others, min(HELPERS * (1 + accused), len(others))):
                self._send(address, Relay(self._number, name, self._news()))

    @property
    def _own_name(self) -> str:
        assert self.own is not None
        return self.own.name

    def _accuse(self) -> None:
        silent = [name for name, at_us in self._heard.items() if self._now - at_us >= self.rules.silent_us]
        for name in silent:  # whom it watches may change with each
            if name in self._heard:
                self.accusations += name not in self._accused
                self._accused.setdefault(name, self._now)
                of = self.records[name]
                self._doubted(Suspicion(name, of.life, of.run, of.turn, self._own_name))

    def _doubted(self, said: Suspicion) -> None:
        """Take an accusation, if it is of what is believed now."""
        of = self.records.get(said.name)
        if (
            of is None
            or of.state is not State.ALIVE
            or (of.life, of.run, of.turn) != (said.life, said.run, said.turn)
        ):
            return
        if said.by not in self.records:
            return  # nobody knows who says so: it bounds what is kept, too
        if said.name == self._own_name:
            assert self.own is not None
            self._deaf[said.by] = self._now
            self.refutations += 1
            self.own = msgspec.structs.replace(self.own, turn=self.own.turn + 1)
            self._take(self.own, self._own_name, f"refutes {said.by}")
            return
        fresh = said.name not in self._doubts
        doubt = self._doubts.setdefault(said.name, Doubt(self._now))
        known_us = doubt.by.get(said.by)
        doubt.by[said.by] = self._now
        if known_us is None or said.by == self._own_name:
            self._tell_others(said)
        if fresh:
            self._look()

    def _judge(self) -> None:
        """Who has been accused for long enough by enough of its watchers is dead; an accusation that is not renewed is
        dropped."""
        rules = self.rules
        self._deaf = {
            by: at_us for by, at_us in self._deaf.items() if self._now - at_us <= 2 * rules.silent_us
        }
        for name, doubt in list(self._doubts.items()):
            for by in [by for by, at_us in doubt.by.items() if self._now - at_us > 2 * rules.silent_us]:
                del doubt.by[by]
            if not doubt.by:
                del self._doubts[name]
                self._look()
            elif self._now - self._accused.get(name, self._now) >= rules.doubt_us:
                watchers = self._watchers(name)
                if len(doubt.by.keys() & watchers | doubt.by.keys() & {self._own_name}) >= min(
                    rules.quorum, max(1, len(watchers))
                ):
                    record = msgspec.structs.replace(self.records[name], state=State.DEAD)
                    self._take(record, self._own_name, "silent, say " + " ".join(sorted(doubt.by)))

    def _exchange(self) -> None:
        """One live member is asked whether it believes the same, and one that is dead or a seed that is not known to
        live: two halves of a fleet that were cut apart find each other again."""
        if not self.joined:
            self._ask_seeds()
        here = {each.address for each in self.alive()}
        live = sorted(here - {self.records[self._own_name].address})
        dead = {each.address for each in self.records.values() if each.state is State.DEAD}
        for among in (live, sorted((dead | set(self.seeds)) - here)):
            if among:
                self._send(
                    self._random.choice(among), Digest(self._digest())
                )  # the next makes a lost one good

    # ---- messages -----------------------------------------------------------------------------------------

    def _message(self, peer: str, message: object) -> None:
        match message:
            case Ping():
                self._hear(message.news, peer)
                self._send(peer, Ack(message.number, self._own_name, self._news()))
            case Ack():
                self._hear(message.news, peer)
                self._sign(message.of)
                asked = self._relayed.pop(message.number, None)
                if asked is not None:
                    self._send(asked[0], Ack(asked[1], message.of, self._news()))
            case Relay():
                self._hear(message.news, peer)
                target = self.records.get(message.target)
                if target is not None and target.state is State.ALIVE and target.name != self._own_name:
                    self._number += 1
                    self._relayed[self._number] = (peer, message.number)
                    if len(self._relayed) > MOST_RELAYED:
                        del self._relayed[next(iter(self._relayed))]
                    self._send(target.address, Ping(self._number, self._news(target.name)))
            case Sync():
                if len(message.records) > MOST_RECORDS:
                    raise MembershipError(f"{len(message.records)} records, over {MOST_RECORDS}")
                for record in message.records:
                    self._take(record, peer, "told all")
                if not self.displaced:
                    if message.answer or not self.joined:
                        self._send(peer, self._everything(answer=False), sure=True)
                    self.joined |= not message.answer
            case Digest():
                if message.value != self._digest():
                    self._send(peer, self._everything(answer=True), sure=True)
            case _:
                raise MembershipError(f"a message of the kind {type(message).__name__}")

    def _hear(self, news: Sequence[News], peer: str) -> None:
        for each in news:
            if isinstance(each, Record):
                self._take(each, peer, "told")
            else:
                self._doubted(each)
            if self.displaced:
                return

    def _sign(self, name: str) -> None:
        """A sign of life of one that is watched: what this broker said against it is taken back."""
        if name in self._heard:
            self._heard[name] = self._now
        doubt = self._doubts.get(name)
        if doubt is not None and name in self._accused:
            del self._accused[name]
            self.false_accusations += 1
            doubt.by.pop(self._own_name, None)

    def _send(self, peer: str, message: Message, sure: bool = False) -> None:
        if not self.displaced:
            self._out.append(SendMessage(peer, message, sure))

    def _everything(self, answer: bool) -> Sync:
        return Sync(sorted(self.records.values(), key=lambda each: each.name), answer)

    def _digest(self) -> int:
        """Of the living alone: of the dead each forgets some in its own time."""
        return xxh3_64_intdigest(
            repr([(each.name, each.life, each.run, each.turn) for each in self.alive()]).encode()
        )

    def _tell_others(self, news: News) -> None:
        key = (news.name, news.by if isinstance(news, Suspicion) else "")
        if key in self._told:
            del self._gossip[self._told[key]][key]
        self._told[key] = 0
        self._gossip[0][key] = news

    def _news(self, to: str = "") -> list[News]:
        """The news for one message: first what concerns the one it goes to, then what was told least often."""
        if not self._told:
            return []
        doubt, most = self._doubts.get(to), self.rules.piggyback
        own = [(to, ""), *((to, by) for by in (doubt.by if doubt else ()))]
        keys = [key for key in own if key in self._told][:most]
        for level in filter(None, self._gossip):
            keys += islice((key for key in level if key[0] != to), most - len(keys))
            if len(keys) >= most:
                break
        enough = min(len(self._gossip) - 1, self.rules.spread * max(1, len(self.records).bit_length()))
        return [self._once_more(key, enough) for key in keys]

    def _once_more(self, key: tuple[str, str], enough: int) -> News:
        """A piece of news is told; after so many times it is told enough."""
        times = self._told.pop(key)
        news = self._gossip[times].pop(key)
        if times + 1 < enough:
            self._told[key] = times + 1
            self._gossip[times + 1][key] = news
        return news
