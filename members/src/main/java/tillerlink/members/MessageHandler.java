package tillerlink.members;

import java.util.List;
import tillerlink.cluster.Reachability;
import tillerlink.members.antientropy.AntiEntropy;
import tillerlink.members.config.RateLimitedLog;
import tillerlink.members.local.LocalMember;
import tillerlink.members.probe.IndirectProbes;
import tillerlink.members.probe.Probe;
import tillerlink.members.state.MemberRecord;
import tillerlink.members.state.MemberTable;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.MemberStatus;
import tillerlink.messages.members.SuspicionLevel;

/** What this process makes of the messages of others. */
final class MessageHandler {
  /** Nobody is told of what it has to refute more often than that, but in an answer. */
  private static final long DOUBTS_APART = 500;

  private final MembershipState core;
  private final FailureDetector asking;
  private final AntiEntropy digests;
  private long doubtToldAt = Long.MIN_VALUE / 2;
  private long doubtfulUntil = Long.MIN_VALUE;
  private long lasted;
  long refused;

  MessageHandler(MembershipState core, FailureDetector asking, AntiEntropy digests) {
    this.core = core;
    this.asking = asking;
    this.digests = digests;
  }

  /** What comes until then waited while this process was away. */
  void doubtful(long until, long away) {
    doubtfulUntil = until;
    lasted = away;
  }

  void told(String from, MemberMessage message) {
    if (core.isOut()) {
      if (core.own.yielded() && message instanceof MemberMessage.Probe probe) {
        // Its address may be a seed of somebody: that is told where the name is now.
        core.sayLast(probe.card().address());
      }
      return;
    }
    if (from.equals(core.self)) {
      self(message);
      return;
    }
    boolean known = takesPart(from);
    met(from, message.card());
    if (message instanceof MemberMessage.Listing listing) {
      digests.told(listing, listing.card().address());
    }
    message.updates().forEach(this::update);
    act(from, message, known);
  }

  private boolean takesPart(String name) {
    MemberRecord entry = core.table.get(name);
    return entry != null && entry.status().takesPart();
  }

  private void act(String from, MemberMessage message, boolean known) {
    if (message instanceof MemberMessage.Probe probe) {
      probe(from, probe);
    } else if (message instanceof MemberMessage.Ack ack) {
      own(ack.suspicion());
      ack(from, ack, known);
    } else if (message instanceof MemberMessage.Ask ask) {
      relay(from, ask);
    } else if (message instanceof MemberMessage.Vouch vouch) {
      asking.probes.vouched(vouch.number(), vouch.reached());
    } else if (message instanceof MemberMessage.Gossip gossip) {
      own(gossip.suspicion());
    } else if (message instanceof MemberMessage.Digest digest) {
      digests.told(digest, digest.card().address());
    }
    if (!(message instanceof MemberMessage.Probe)) {
      tellDoubt(from, message.card());
    }
  }

  // ---- the sender ----

  /**
   * A message shows that its sender lived once, not that it does now: it may have been recorded.
   */
  private void met(String from, MemberInfo card) {
    MemberRecord entry = core.table.get(from);
    if (entry == null) {
      asking.verify(new GossipUpdate(from, MemberStatus.ALIVE, card, "", 0));
    } else if (card.compare(entry.card()) > 0) {
      update(new GossipUpdate(from, MemberStatus.ALIVE, card, "", 0));
    }
  }

  private void tellDoubt(String from, MemberInfo card) {
    SuspicionLevel doubt = core.doubt(from, card);
    if (doubt.isPresent() && core.now - doubtToldAt >= DOUBTS_APART) {
      doubtToldAt = core.now;
      core.gossip(card.address(), doubt, 0);
    }
  }

  // ---- questions and answers ----

  private void probe(String from, MemberMessage.Probe probe) {
    if (!probe.target().isEmpty() && !probe.target().equals(core.self)) {
      // Another process stands at that address now: nobody answers for it.
      core.gossip(probe.card().address(), SuspicionLevel.NONE, 0);
      return;
    }
    own(probe.suspicion());
    core.send(
        probe.card().address(),
        new MemberMessage.Ack(
            core.own.card(), probe.number(), core.doubt(from, probe.card()), answerNews(probe)));
  }

  /**
   * A question without news may have come over a link that carries small messages only: so is the
   * answer.
   */
  private List<GossipUpdate> answerNews(MemberMessage.Probe probe) {
    return probe.updates().isEmpty()
        ? core.news(MembershipState.room(MembershipState.BYTES_SMALL))
        : core.news(MembershipState.room(MembershipState.BYTES_MOST));
  }

  /**
   * @param known whether it took part already, for all that was known before this answer
   */
  private void ack(String from, MemberMessage.Ack ack, boolean known) {
    IndirectProbes.For asker = asking.relays.answered(ack.number(), from);
    if (asker != null) {
      core.send(
          asker.address(),
          new MemberMessage.Vouch(
              core.own.card(),
              asker.number(),
              true,
              core.news(MembershipState.room(MembershipState.BYTES_SMALL))));
      return;
    }
    Probe about = asking.probes.answered(ack.number(), from, core.now);
    if (about == null) {
      return;
    }
    if (about.kind() == Probe.Kind.MEMBER) {
      straight(from, about);
      return;
    }
    update(new GossipUpdate(from, MemberStatus.ALIVE, ack.card(), "", 0));
    if (!known && takesPart(from)) {
      straight(from, about);
      // A partition may have healed: both learn at once who is there on the other's side.
      compare(ack.card().address());
    }
  }

  private void straight(String from, Probe about) {
    MemberRecord entry = core.table.get(from);
    if (entry != null && entry.status().takesPart()) {
      core.table.lived(entry, about.startedAt());
      core.table.straight(entry, about.took());
    }
  }

  private void relay(String from, MemberMessage.Ask ask) {
    MemberRecord entry = core.table.get(ask.target());
    String address = entry == null ? ask.address() : entry.card().address();
    long number =
        asking.relays.add(
            new IndirectProbes.For(
                from,
                ask.card().address(),
                ask.number(),
                ask.target(),
                core.now + core.periods.probeTimeout()));
    if (number != 0) {
      SuspicionLevel doubt =
          ask.suspicion().isPresent() || entry == null ? ask.suspicion() : entry.suspicion();
      core.send(
          address,
          new MemberMessage.Probe(core.own.card(), number, ask.target(), doubt, List.of()));
    }
  }

  /** All that both know is compared. */
  void compare(String address) {
    long salt = core.random.nextLong();
    core.send(address, new MemberMessage.Digest(core.own.card(), salt, digests.sums(salt)));
  }

  // ---- what is told ----

  private void update(GossipUpdate told) {
    if (told.name().equals(core.self)) {
      own(told.status(), told.card());
      return;
    }
    boolean doubtful = core.now <= doubtfulUntil;
    GossipUpdate update =
        doubtful
            ? new GossipUpdate(
                told.name(), told.status(), told.card(), told.accuser(), told.age() + lasted)
            : told;
    MemberTable.Outcome outcome = core.table.tell(update, core.now, doubtful);
    switch (outcome) {
      case NEWS -> core.updates.put(update.name(), update.accuser());
      case VERIFY -> asking.verify(update);
      case REFUSED -> {
        refused++;
        core.lines.line(
            RateLimitedLog.Kind.FULL,
            core.now,
            "members: no room for "
                + update.name()
                + ", "
                + core.periods.maxMembers()
                + " others take part already");
      }
      case OUTDATED -> outdated(update);
      case KNOWN -> {
        // nothing new
      }
    }
    if (outcome == MemberTable.Outcome.NEWS
        && update.status() == MemberStatus.GONE
        && core.table.get(update.name()).reach() == Reachability.SUSPECTED) {
      asking.verify(update);
    }
  }

  private void outdated(GossipUpdate update) {
    MemberRecord entry = core.table.get(update.name());
    if (update.status() == MemberStatus.SUSPECTED && !entry.status().takesPart()) {
      // Whoever suspects it alone would wait long for others to confirm it: they have given it up
      // already.
      core.updates.again(update.name(), core.self);
    }
    // Another process of the name of one that is away may not know yet what it has to stand above.
    if (update.status() == MemberStatus.ALIVE
        && !entry.status().takesPart()
        && update.card().birth() != entry.card().birth()) {
      asking.verify(update);
    }
  }

  // ---- the own name ----

  private void own(SuspicionLevel doubt) {
    own(doubt.status(), new MemberInfo(doubt.incarnation(), doubt.birth(), "", ""));
  }

  private void own(MemberStatus standing, MemberInfo card) {
    if (card.incarnation() == 0 || core.left || core.own.yielded()) {
      return;
    }
    LocalMember.Answer answer =
        core.own.told(standing, card.incarnation(), card.birth(), card.address());
    settle(answer, card);
    if (answer == LocalMember.Answer.RAISED && card.birth() == core.own.card().birth()) {
      asking.health.worse(1);
    }
  }

  private void settle(LocalMember.Answer answer, MemberInfo other) {
    switch (answer) {
      case NOTHING -> {
        // it says what is so
      }
      case RAISED -> core.raised();
      case RAISED_OVER_RIVAL -> {
        core.raised();
        core.lines.line(
            RateLimitedLog.Kind.RIVAL,
            core.now,
            "members: another process is told of under the own name "
                + core.self
                + ", at "
                + other.address());
        asking.rival(other.address());
      }
      case YIELD -> {
        core.lines.line(
            RateLimitedLog.Kind.OWN,
            core.now,
            "members: another process keeps the name "
                + core.self
                + "; this one takes part no more until it is started under another name");
        core.yieldTo(other);
      }
    }
  }

  /** A message from the own name: an echo, or another process that has it. */
  private void self(MemberMessage message) {
    MemberInfo card = message.card();
    if (card.birth() == core.own.card().birth() || core.left) {
      return;
    }
    if (message instanceof MemberMessage.Ack ack
        && asking.probes.answered(ack.number(), core.self, core.now) != null) {
      settle(core.own.lives(card.birth()), card);
      return;
    }
    own(MemberStatus.ALIVE, card);
    if (message instanceof MemberMessage.Probe probe) {
      core.send(
          card.address(),
          new MemberMessage.Ack(core.own.card(), probe.number(), SuspicionLevel.NONE, List.of()));
      if (!core.own.yielded() && !asking.probes.underWay(core.self)) {
        asking.rival(card.address());
      }
    }
  }
}
