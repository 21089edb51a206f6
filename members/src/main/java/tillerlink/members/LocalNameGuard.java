package tillerlink.members;

import java.util.List;
import tillerlink.members.config.RateLimitedLog;
import tillerlink.members.local.LocalMember;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.MemberStatus;
import tillerlink.messages.members.SuspicionLevel;

/**
 * Refutes false claims about the local member, and resolves the conflict if two processes use its
 * name.
 */
final class LocalNameGuard {
  private final MembershipState state;
  private final FailureDetector failureDetector;
  private final Farewell farewell;

  LocalNameGuard(MembershipState state, FailureDetector failureDetector, Farewell farewell) {
    this.state = state;
    this.failureDetector = failureDetector;
    this.farewell = farewell;
  }

  /** Handles another member's suspicion against the local member. */
  void onSuspicion(SuspicionLevel suspicion) {
    onClaim(suspicion.status(), new MemberInfo(suspicion.incarnation(), suspicion.birth(), "", ""));
  }

  /**
   * Handles another member's claim about the local member's name.
   *
   * @param status the claimed status
   * @param card the claimed incarnation, birth, address and site; ignored if the incarnation is 0
   */
  void onClaim(MemberStatus status, MemberInfo card) {
    LocalMember local = state.localMember;
    if (card.incarnation() == 0 || state.hasLeft() || local.hasYielded()) {
      return;
    }
    LocalMember.Reaction reaction =
        local.onClaim(status, card.incarnation(), card.birth(), card.address());
    react(reaction, card);
    boolean aboutThisProcess = card.birth() == local.card().birth();
    if (reaction == LocalMember.Reaction.REFUTED && aboutThisProcess) {
      failureDetector.health.degrade(1);
    }
  }

  private void react(LocalMember.Reaction reaction, MemberInfo other) {
    switch (reaction) {
      case NONE -> {
        // The claim is true or outdated.
      }
      case REFUTED -> state.onIncarnationRaised();
      case REFUTED_RIVAL -> {
        state.onIncarnationRaised();
        state.log.log(
            RateLimitedLog.Kind.RIVAL,
            state.now(),
            "members: another process is told of under the own name "
                + state.self
                + ", at "
                + other.address());
        failureDetector.probeRival(other.address());
      }
      case YIELDED -> {
        state.log.log(
            RateLimitedLog.Kind.OWN,
            state.now(),
            "members: another process keeps the name "
                + state.self
                + "; this one takes part no more until it is started under another name");
        farewell.onNameLost(other);
      }
    }
  }

  /**
   * Handles a message whose sender has the local member's name: either a message of this process
   * that came back, which is ignored, or a message from another process that uses the same name.
   */
  void onMessage(MemberMessage message) {
    LocalMember local = state.localMember;
    MemberInfo card = message.card();
    if (card.birth() == local.card().birth() || state.hasLeft()) {
      return;
    }
    if (message instanceof MemberMessage.Ack ack
        && failureDetector.probes.onAck(ack.number(), state.self, state.now()) != null) {
      react(local.onRivalAlive(card.birth()), card);
      return;
    }
    onClaim(MemberStatus.ALIVE, card);
    if (message instanceof MemberMessage.Probe probe) {
      state.send(
          card.address(),
          new MemberMessage.Ack(local.card(), probe.number(), SuspicionLevel.NONE, List.of()));
      if (!local.hasYielded() && !failureDetector.probes.isUnderWay(state.self)) {
        failureDetector.probeRival(card.address());
      }
    }
  }
}
