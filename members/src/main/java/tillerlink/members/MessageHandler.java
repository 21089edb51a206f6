package tillerlink.members;

import java.util.List;
import tillerlink.cluster.Reachability;
import tillerlink.members.config.RateLimitedLog;
import tillerlink.members.probe.IndirectProbes;
import tillerlink.members.probe.Probe;
import tillerlink.members.state.MemberRecord;
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.MemberStatus;
import tillerlink.messages.members.SuspicionLevel;

/** Handles the messages of other members. */
final class MessageHandler {
  /**
   * Shortest time between two messages that only tell their receivers what to refute, in tenths of
   * a millisecond; answers tell it always.
   */
  private static final long MIN_SUSPICION_INTERVAL = 500;

  private static final int NO_UPDATE_BYTES = 0;

  private final MembershipState state;
  private final FailureDetector failureDetector;
  private final LocalNameGuard localName;
  private final Farewell farewell;
  private long suspicionSentAt = Long.MIN_VALUE / 2;
  private long delayedUntil = Long.MIN_VALUE;
  private long pauseDuration;
  private long rejected;

  MessageHandler(
      MembershipState state,
      FailureDetector failureDetector,
      LocalNameGuard localName,
      Farewell farewell) {
    this.state = state;
    this.failureDetector = failureDetector;
    this.localName = localName;
    this.farewell = farewell;
  }

  /**
   * This process was paused.
   *
   * @param until messages that arrive until then may have waited during the pause
   * @param duration how long it was paused
   */
  void onPause(long until, long duration) {
    delayedUntil = until;
    pauseDuration = duration;
  }

  /** How often a member was rejected since the table was full. */
  long rejected() {
    return rejected;
  }

  void onMessage(String from, MemberMessage message) {
    if (farewell.hasEnded()) {
      if (state.localMember.hasYielded() && message instanceof MemberMessage.Probe probe) {
        // This address may be a seed of the sender: it learns where the name's keeper is.
        farewell.announceTo(probe.card().address());
      }
      return;
    }
    if (from.equals(state.self)) {
      localName.onMessage(message);
      return;
    }
    boolean wasActive = state.isActive(from);
    mergeSender(from, message.card());
    if (message instanceof MemberMessage.Listing listing) {
      state.antiEntropy.onListing(listing, listing.card().address());
    }
    message.updates().forEach(this::merge);
    dispatch(from, message, wasActive);
  }

  private void dispatch(String from, MemberMessage message, boolean wasActive) {
    if (message instanceof MemberMessage.Probe probe) {
      onProbe(from, probe);
      return;
    }
    if (message instanceof MemberMessage.Ack ack) {
      localName.onSuspicion(ack.suspicion());
      onAck(from, ack, wasActive);
    } else if (message instanceof MemberMessage.Ask request) {
      onIndirectProbeRequest(from, request);
    } else if (message instanceof MemberMessage.Vouch result) {
      failureDetector.probes.onIndirectResult(result.number(), result.reached());
    } else if (message instanceof MemberMessage.Gossip gossip) {
      localName.onSuspicion(gossip.suspicion());
    } else if (message instanceof MemberMessage.Digest digest) {
      state.antiEntropy.onDigest(digest, digest.card().address());
    }
    sendSuspicion(from, message.card());
  }

  // ---- the sender ----

  /**
   * A message proves that its sender was alive once, not that it is now: it may be a recorded one.
   */
  private void mergeSender(String from, MemberInfo card) {
    MemberRecord member = state.table.get(from);
    GossipUpdate update = new GossipUpdate(from, MemberStatus.ALIVE, card, "", 0);
    if (member == null) {
      failureDetector.verify(update);
    } else if (card.compare(member.card()) > 0) {
      merge(update);
    }
  }

  /** Tells the sender what it has to refute. */
  private void sendSuspicion(String from, MemberInfo card) {
    SuspicionLevel suspicion = state.suspicionOf(from, card);
    if (suspicion.isPresent() && state.now() - suspicionSentAt >= MIN_SUSPICION_INTERVAL) {
      suspicionSentAt = state.now();
      state.sendGossip(card.address(), suspicion, NO_UPDATE_BYTES);
    }
  }

  // ---- probes ----

  private void onProbe(String from, MemberMessage.Probe probe) {
    MemberInfo sender = probe.card();
    if (!probe.target().isEmpty() && !probe.target().equals(state.self)) {
      // Another process has the probed address now: it does not answer in the target's place.
      state.sendGossip(sender.address(), SuspicionLevel.NONE, NO_UPDATE_BYTES);
      return;
    }
    localName.onSuspicion(probe.suspicion());
    // A probe without gossip may have come over a link that carries small messages only.
    int maxUpdateBytes =
        probe.updates().isEmpty()
            ? MembershipState.SMALL_UPDATE_BYTES
            : MembershipState.UPDATE_BYTES;
    state.send(
        sender.address(),
        new MemberMessage.Ack(
            state.localMember.card(),
            probe.number(),
            state.suspicionOf(from, sender),
            state.takeUpdates(maxUpdateBytes)));
  }

  /**
   * Handles an acknowledgement.
   *
   * @param wasActive whether the sender was an active member before this message
   */
  private void onAck(String from, MemberMessage.Ack ack, boolean wasActive) {
    IndirectProbes.Request request = failureDetector.indirectProbes.onAck(ack.number(), from);
    if (request != null) {
      state.send(
          request.address(),
          new MemberMessage.Vouch(
              state.localMember.card(),
              request.number(),
              true,
              state.takeUpdates(MembershipState.SMALL_UPDATE_BYTES)));
      return;
    }
    Probe probe = failureDetector.probes.onAck(ack.number(), from, state.now());
    if (probe == null) {
      return;
    }
    if (probe.kind() == Probe.Kind.MEMBER) {
      onDirectAck(from, probe);
      return;
    }
    merge(new GossipUpdate(from, MemberStatus.ALIVE, ack.card(), "", 0));
    if (!wasActive && state.isActive(from)) {
      onDirectAck(from, probe);
      // A partition may have healed: both learn at once who is on the other side.
      state.sendDigest(ack.card().address());
    }
  }

  private void onDirectAck(String from, Probe probe) {
    MemberRecord member = state.table.get(from);
    if (member != null && member.status().takesPart()) {
      state.table.onAlive(member, probe.startedAt());
      state.table.onDirectAck(member, probe.roundTrip());
    }
  }

  private void onIndirectProbeRequest(String from, MemberMessage.Ask request) {
    MemberRecord member = state.table.get(request.target());
    long number =
        failureDetector.indirectProbes.add(
            new IndirectProbes.Request(
                from,
                request.card().address(),
                request.number(),
                request.target(),
                state.now() + state.config.probeTimeout()));
    if (number == IndirectProbes.NO_NUMBER) {
      return;
    }
    String address = member == null ? request.address() : member.card().address();
    boolean asRequested = request.suspicion().isPresent() || member == null;
    state.send(
        address,
        new MemberMessage.Probe(
            state.localMember.card(),
            number,
            request.target(),
            asRequested ? request.suspicion() : member.suspicion(),
            List.of()));
  }

  // ---- gossip ----

  private void merge(GossipUpdate received) {
    if (received.name().equals(state.self)) {
      localName.onClaim(received.status(), received.card());
      return;
    }
    boolean delayedByPause = state.now() <= delayedUntil;
    GossipUpdate update = delayedByPause ? received.agedBy(pauseDuration) : received;
    switch (state.table.merge(update, state.now(), delayedByPause)) {
      case CHANGED -> onChanged(update);
      case NEEDS_PROBE -> failureDetector.verify(update);
      case TABLE_FULL -> onTableFull(update);
      case OUTDATED -> onOutdated(update);
      case KNOWN -> {
        // nothing to gossip
      }
    }
  }

  private void onChanged(GossipUpdate update) {
    state.gossip.put(update.name(), update.accuser());
    // Declared failed by others, but only suspected here: the member is probed.
    if (update.status() == MemberStatus.GONE
        && state.table.get(update.name()).reachability() == Reachability.SUSPECTED) {
      failureDetector.verify(update);
    }
  }

  private void onTableFull(GossipUpdate update) {
    rejected++;
    state.log.log(
        RateLimitedLog.Kind.FULL,
        state.now(),
        "members: table is full, rejected "
            + update.name()
            + "; the limit is "
            + state.config.maxMembers()
            + " other active members");
  }

  private void onOutdated(GossipUpdate update) {
    MemberRecord member = state.table.get(update.name());
    if (member.status().takesPart()) {
      return;
    }
    if (update.status() == MemberStatus.SUSPECTED) {
      // A sole accuser would wait long for confirmations: the others have declared it failed
      // already.
      state.gossip.putIfAbsent(update.name(), state.self);
    }
    // Another process of the name may not know yet which incarnation it has to exceed.
    if (update.status() == MemberStatus.ALIVE && update.card().birth() != member.card().birth()) {
      failureDetector.verify(update);
    }
  }
}
