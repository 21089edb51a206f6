package tillerlink.statements.consensus;

import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.StatementMessage.AskPiece;
import tillerlink.messages.statements.StatementMessage.Offer;
import tillerlink.messages.statements.StatementMessage.Piece;

/**
 * The installation of the leader's snapshot on a voter that lacks entries which the leader's log no
 * longer has. It also serves pieces of this voter's own snapshot.
 */
final class SnapshotInstallation {
  private final RaftContext context;
  private final VoterState state;
  private final LogReplication replication;
  private final CommitAdvancer commits;
  private final VoterRejoin rejoin;
  private final SnapshotFetcher fetcher;

  SnapshotInstallation(
      RaftContext context,
      VoterState state,
      LogReplication replication,
      CommitAdvancer commits,
      VoterRejoin rejoin) {
    this.context = context;
    this.state = state;
    this.replication = replication;
    this.commits = commits;
    this.rejoin = rejoin;
    fetcher = new SnapshotFetcher(context.outbox());
  }

  void tick() {
    fetcher.tick(state.now());
  }

  long nextDueAt() {
    return fetcher.nextDueAt();
  }

  void onOffer(String from, Offer offer) {
    if (!replication.acceptsEntries() || !state.acceptLeader(from, offer.term())) {
      return;
    }
    long applied = context.machine().applied();
    if (offer.index() > applied) {
      fetcher.start(state.now(), from, offer.index(), offer.size());
    } else {
      replication.acknowledgeSnapshot(from, offer.index());
    }
  }

  void onPieceRequest(String from, AskPiece request) {
    Log log = context.log();
    context
        .outbox()
        .send(from, SnapshotFetcher.respond(request, log.snapshot().index(), log.snapshotBytes()));
  }

  void onPiece(String from, Piece piece) {
    fetcher.onPiece(state.now(), from, piece).ifPresent(bytes -> install(from, bytes));
  }

  private void install(String from, byte[] bytes) {
    try {
      Snapshot snapshot = Snapshot.read(bytes);
      if (snapshot.index() <= context.machine().applied()) {
        return;
      }
      context.machine().install(snapshot.state());
      context.log().install(snapshot);
      context.membership().refresh();
      state.raiseCommitIndex(snapshot.index());
      if (commits.isReadmittedAt(snapshot.index())) {
        rejoin.onReadmitted(snapshot.members());
      }
      replication.acknowledgeSnapshot(from, snapshot.index());
    } catch (MalformedMessageException e) {
      context.warnings().accept("snapshot from " + from + " cannot be decoded: " + e.getMessage());
    }
  }
}
