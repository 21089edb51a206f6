package tillerlink.statements;

import java.util.List;
import java.util.Optional;
import tillerlink.messages.statements.StatementMessage;
import tillerlink.messages.statements.StatementMessage.AskLease;
import tillerlink.messages.statements.StatementMessage.Clear;
import tillerlink.messages.statements.StatementMessage.Propose;
import tillerlink.messages.statements.StatementMessage.Release;
import tillerlink.statements.catalog.Catalog;
import tillerlink.statements.consensus.Outbox;
import tillerlink.statements.consensus.RaftVoter;
import tillerlink.statements.lease.LeaseGrantor;

/**
 * A gateway that votes: besides the log it grants leases, confirms to the leader which announced
 * changes it is clear of, and runs the leader's tasks. Times are in tenths of a millisecond.
 */
final class VoterParticipant implements LogParticipant {
  private static final long CONFIRMATION_INTERVAL = 3000;

  private final EventClock clock;
  private final CatalogReplica replica;
  private final Outbox outbox;
  private final RaftVoter voter;
  private final LeaseGrantor grantor;
  private final LeaderTasks leaderTasks;

  /** The changes that were last confirmed to be clear. */
  private List<Long> confirmed = List.of();

  private long confirmationDueAt;

  VoterParticipant(
      EventClock clock,
      CatalogReplica replica,
      Outbox outbox,
      RaftVoter voter,
      LeaseGrantor grantor,
      LeaderTasks leaderTasks) {
    this.clock = clock;
    this.replica = replica;
    this.outbox = outbox;
    this.voter = voter;
    this.grantor = grantor;
    this.leaderTasks = leaderTasks;
    replica.setEffectListener(grantor::onChangeEffective);
  }

  @Override
  public void onMessage(String from, StatementMessage message) {
    if (message instanceof AskLease request) {
      grantor
          .onRequest(clock.now(), request, replica.catalog())
          .ifPresent(response -> voter.whenDurable(() -> outbox.send(from, response)));
    } else if (message instanceof Release release) {
      grantor.onRelease(release);
    } else if (message instanceof Clear clear) {
      leaderTasks.onClear(from, clear.stamp().disk(), clear.changes(), replica.catalog());
    } else if (message instanceof Propose proposal) {
      onProposal(proposal);
    } else {
      voter.onMessage(clock.now(), from, message);
    }
  }

  /** Appends a proposal that is not in the log yet, or forwards it once to the leader. */
  private void onProposal(Propose proposal) {
    long origin = proposal.origin();
    long number = proposal.number();
    if (replica.catalog().answer(origin, number).isPresent()
        || voter.propose(clock.now(), origin, number, proposal.command())
        || proposal.onward()) {
      return;
    }
    voter
        .leader()
        .filter(name -> !name.equals(voter.name()))
        .ifPresent(
            name -> outbox.send(name, new Propose(origin, number, proposal.command(), true)));
  }

  @Override
  public void tick() {
    voter.tick(clock.now());
    leaderTasks.tick(clock.now(), replica.catalog());
    confirmClear();
  }

  /** Tells the leader what this voter is clear of, repeatedly until the changes are settled. */
  private void confirmClear() {
    Catalog catalog = replica.catalog();
    List<Long> cleared =
        catalog.waiting().isEmpty() ? List.of() : grantor.clearedChanges(clock.now(), catalog);
    boolean due = !cleared.equals(confirmed) || clock.now() >= confirmationDueAt;
    if (cleared.isEmpty() || !due) {
      return;
    }
    confirmed = cleared;
    confirmationDueAt = clock.now() + CONFIRMATION_INTERVAL;
    voter
        .leader()
        .ifPresent(
            name -> voter.whenDurable(() -> outbox.send(name, new Clear(voter.stamp(), cleared))));
  }

  @Override
  public long nextDueAt() {
    long due = Math.min(voter.nextDueAt(), leaderTasks.nextDueAt());
    var waiting = replica.catalog().waiting();
    if (waiting.isEmpty()) {
      return due;
    }
    long confirmation = confirmed.isEmpty() ? Long.MAX_VALUE : confirmationDueAt;
    return Math.min(due, Math.min(confirmation, grantor.nextDueAt(clock.now(), waiting)));
  }

  @Override
  public void onPause() {
    voter.onPause(clock.now());
  }

  @Override
  public Optional<String> leader() {
    return voter.leader();
  }

  @Override
  public Optional<RaftVoter> voter() {
    return Optional.of(voter);
  }

  @Override
  public long repreparedCount() {
    return leaderTasks.repreparedCount();
  }
}
