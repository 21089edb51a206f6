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
   * Minimum time between two messages whose only purpose is to inform the receiver of a suspicion
   * that it has to refute, in tenths of a millisecond. Acknowledgements always carry the suspicion,
   * so they are not limited.
   */
  private static final long MIN_SUSPICION_INTERVAL = 500;

  private static final int NO_UPDATE_BYTES = 0;

  private final MembershipState state;
  private final FailureDetector failureDetector;
  private final LocalNameGuard localNameGuard;
  private final Farewell farewell;
  private long suspicionSentAt = Long.MIN_VALUE / 2;
  private long delayedUntil = Long.MIN_VALUE;
  private long pauseDuration;
  private long rejected;

  MessageHandler(
      MembershipState state,
      FailureDetector failureDetector,
      LocalNameGuard localNameGuard,
      Farewell farewell) {
    this.state = state;
    this.failureDetector = failureDetector;
    this.localNameGuard = localNameGuard;
    this.farewell = farewell;
  }

  /**
   * Handles a pause of this process. Gossip in messages that may have waited during the pause is
   * treated as older than its stated age, and accuses no member.
   *
   * @param until the time until which an arriving message may have waited during the pause, in
   *     tenths of a millisecond
   * @param duration the length of the pause, in tenths of a millisecond
   */
  void onPause(long until, long duration) {
    delayedUntil = until;
    pauseDuration = duration;
  }

  /** Returns how many gossip updates were rejected because the member table was full. */
  long rejected() {
    return rejected;
  }

  void onMessage(String from, MemberMessage message) {
    if (farewell.hasEnded()) {
      if (state.localMember.hasYielded() && message instanceof MemberMessage.Probe probe) {
        // This address may be a seed of the sender. The announcement contains the address of the
        // process that keeps the name.
        farewell.announceTo(probe.card().address());
      }
      return;
    }
    if (from.equals(state.self)) {
      localNameGuard.onMessage(message);
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
      localNameGuard.onSuspicion(ack.suspicion());
      onAck(from, ack, wasActive);
    } else if (message instanceof MemberMessage.Ask request) {
      onIndirectProbeRequest(from, request);
    } else if (message instanceof MemberMessage.Vouch result) {
      failureDetector.probes.onIndirectResult(result.number(), result.reached());
    } else if (message instanceof MemberMessage.Gossip gossip) {
      localNameGuard.onSuspicion(gossip.suspicion());
    } else if (message instanceof MemberMessage.Digest digest) {
      state.antiEntropy.onDigest(digest, digest.card().address());
    }
    sendSuspicion(from, message.card());
  }

  // ---- the sender ----

  /**
   * Merges the sender's card. A message proves that its sender was alive at some time, but not that
   * it is alive now, because the message may be a replay of a recorded one. An unknown sender is
   * therefore probed before it is added.
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

  /** Informs the sender of the suspicion that it has to refute, if there is one. */
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
      // This process now has the address of the probed member. It must not acknowledge the probe
      // on behalf of that member.
      state.sendGossip(sender.address(), SuspicionLevel.NONE, NO_UPDATE_BYTES);
      return;
    }
    localNameGuard.onSuspicion(probe.suspicion());
    // A probe without gossip may have arrived over a link that carries only small messages.
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
   * Handles an acknowledgement of a probe, either of this process or at the request of another.
   *
   * @param from the name of the sender
   * @param ack the acknowledgement
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
      // A partition may have healed. The comparison informs both members at once of the members on
      // the other side.
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
      localNameGuard.onClaim(received.status(), received.card());
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
        // There is nothing to gossip.
      }
    }
  }

  private void onChanged(GossipUpdate update) {
    state.gossip.put(update.name(), update.accuser());
    // Others declared the member failed, but it is only suspected here, so it is probed first.
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
      // The sender is the only accuser and would wait long for confirmations, because the others
      // have declared the member failed already.
      state.gossip.putIfAbsent(update.name(), state.self);
    }
    // Another process with this name may not know yet which incarnation it has to exceed.
    if (update.status() == MemberStatus.ALIVE && update.card().birth() != member.card().birth()) {
      failureDetector.verify(update);
    }
  }
}
