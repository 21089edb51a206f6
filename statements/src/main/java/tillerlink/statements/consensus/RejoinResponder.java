package tillerlink.statements.consensus;

import java.util.Map;
import java.util.TreeMap;
import tillerlink.messages.statements.Command;
import tillerlink.messages.statements.StatementMessage.Hello;
import tillerlink.messages.statements.StatementMessage.Seen;
import tillerlink.messages.statements.StatementMessage.Stage;

/** Tells voters that start what is known of them; a leader readmits one that lost its disk. */
final class RejoinResponder {
  private record Greeting(long nonce, long knownBoots) {}

  private final RaftContext context;
  private final VoterState state;
  private final LeaderState leaderState;
  private final PeerIncarnations incarnations;
  private final LogReplication replication;
  private final Map<Integer, Greeting> greetings = new TreeMap<>();

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
    long knownBoots = knownBefore(voter, hello);
    incarnations.noteStarts(voter, hello.stamp().boots());
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
   * How many starts of that voter were known before this one; the same for a repeated greeting, as
   * the first response may be lost.
   */
  private long knownBefore(int voter, Hello hello) {
    Greeting last = greetings.get(voter);
    if (last == null || last.nonce != hello.nonce()) {
      last = new Greeting(hello.nonce(), context.identity().boots(voter));
      greetings.put(voter, last);
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
        leaderState.matchIndexOf(voter),
        term,
        log.lastTerm(),
        log.lastIndex(),
        identity.pledge(),
        membership.members(),
        membership.version());
  }
}
