package tillerlink.statements.consensus;

import java.util.Map;
import java.util.TreeMap;
import tillerlink.messages.statements.Command;
import tillerlink.messages.statements.StatementMessage.Hello;
import tillerlink.messages.statements.StatementMessage.Seen;
import tillerlink.messages.statements.StatementMessage.Stage;

/**
 * The component of a voter that responds to the hellos of starting voters with the state that it
 * knows of them. On a leader, it also readmits a voter that lost its disk.
 */
final class RejoinResponder {
  /**
   * The last hello of a voter.
   *
   * @param nonce the nonce of the hello
   * @param knownBoots the number of starts of the voter that was known before the hello
   */
  private record ReceivedHello(long nonce, long knownBoots) {}

  private final RaftContext context;
  private final VoterState state;
  private final LeaderState leaderState;
  private final PeerIncarnations incarnations;
  private final LogReplication replication;
  private final Map<Integer, ReceivedHello> receivedHellos = new TreeMap<>();

  RejoinResponder(
      RaftContext context,
      VoterState state,
      LeaderState leaderState,
      PeerIncarnations incarnations,
      LogReplication replication) {
    this.context = context;
    this.state = state;
    this.leaderState = leaderState;
    this.incarnations = incarnations;
    this.replication = replication;
  }

  void onHello(String from, int voter, Hello hello) {
    long knownBoots = bootsKnownBefore(voter, hello);
    incarnations.recordBoots(voter, hello.stamp().boots());
    Seen response = response(voter, hello, knownBoots);
    context.durable().whenDurable(() -> context.outbox().send(from, response));
    boolean lostDisk =
        hello.stage() == Stage.LOST && !context.membership().isMember(voter, hello.stamp().disk());
    if (state.isLeader()
        && lostDisk
        && leaderState.canReadmit(
            state.now(), voter, state.commitIndex(), context.ballot().term())) {
      replication.appendAndReplicate(0, 0, new Command.Readmit(from, hello.stamp().disk()));
    }
  }

  /**
   * Returns the number of starts of a voter that was known before its hello. It is the same for a
   * repeated hello, because the response to the first one may have been lost.
   */
  private long bootsKnownBefore(int voter, Hello hello) {
    ReceivedHello last = receivedHellos.get(voter);
    if (last == null || last.nonce != hello.nonce()) {
      last = new ReceivedHello(hello.nonce(), context.identity().boots(voter));
      receivedHellos.put(voter, last);
    }
    return last.knownBoots;
  }

  private Seen response(int voter, Hello hello, long knownBoots) {
    Identity identity = context.identity();
    Membership membership = context.membership();
    Log log = context.log();
    long term = context.ballot().term();
    return new Seen(
        identity.stamp(),
        hello.nonce(),
        identity.stage(),
        knownBoots,
        term,
        leaderState.matchIndex(voter),
        term,
        log.lastTerm(),
        log.lastIndex(),
        identity.pledge(),
        membership.members(),
        membership.version());
  }
}
