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
 * The participation of a gateway with a vote. Besides replicating the log, it grants leases,
 * confirms to the leader which announced changes it is clear of, and runs the leader's tasks while
 * it leads. Times are in tenths of a millisecond.
 */
final class VoterParticipant implements LogParticipant {
  private static final long CONFIRMATION_INTERVAL = 3000;

  private final EventClock clock;
  private final CatalogReplica replica;
  private final Outbox outbox;
  private final RaftVoter voter;
  private final LeaseGrantor grantor;
  private final LeaderTasks leaderTasks;

  /** The numbers of the changes that this voter last confirmed to be clear of. */
  private List<Long> confirmedChanges = List.of();

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

  /**
   * Appends a proposal that is not in the log yet, or forwards it to the leader. A proposal that
   * was already forwarded is not forwarded again, so that it can't circulate between voters.
   */
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

  /**
   * Sends the leader the changes that this voter is clear of, repeatedly until they have taken
   * effect or are withdrawn.
   */
  private void confirmClear() {
    Catalog catalog = replica.catalog();
    List<Long> cleared =
        catalog.waiting().isEmpty() ? List.of() : grantor.clearedChanges(clock.now(), catalog);
    boolean due = !cleared.equals(confirmedChanges) || clock.now() >= confirmationDueAt;
    if (cleared.isEmpty() || !due) {
      return;
    }
    confirmedChanges = cleared;
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
    long confirmation = confirmedChanges.isEmpty() ? Long.MAX_VALUE : confirmationDueAt;
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
