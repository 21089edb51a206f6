package tillerlink.messages.statements;

import java.util.List;
import java.util.SortedMap;
import tillerlink.messages.FieldReader;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.Numbered;
import tillerlink.messages.statements.StatementMessage.Append;
import tillerlink.messages.statements.StatementMessage.Appended;
import tillerlink.messages.statements.StatementMessage.AskLease;
import tillerlink.messages.statements.StatementMessage.AskPiece;
import tillerlink.messages.statements.StatementMessage.AskVote;
import tillerlink.messages.statements.StatementMessage.Busy;
import tillerlink.messages.statements.StatementMessage.Clear;
import tillerlink.messages.statements.StatementMessage.Committed;
import tillerlink.messages.statements.StatementMessage.Fetch;
import tillerlink.messages.statements.StatementMessage.Hello;
import tillerlink.messages.statements.StatementMessage.Lease;
import tillerlink.messages.statements.StatementMessage.Offer;
import tillerlink.messages.statements.StatementMessage.Piece;
import tillerlink.messages.statements.StatementMessage.Propose;
import tillerlink.messages.statements.StatementMessage.Release;
import tillerlink.messages.statements.StatementMessage.Seen;
import tillerlink.messages.statements.StatementMessage.Stage;
import tillerlink.messages.statements.StatementMessage.Vote;

/**
 * The kind and field numbers of messages about prepared statements, and the field values read so
 * far from one message. A field that is missing from the message keeps its default value.
 */
final class StatementFields {
  static final int KIND_HELLO = 1;
  static final int KIND_SEEN = 2;
  static final int KIND_ASK_VOTE = 3;
  static final int KIND_VOTE = 4;
  static final int KIND_APPEND = 5;
  static final int KIND_APPENDED = 6;
  static final int KIND_OFFER = 7;
  static final int KIND_ASK_PIECE = 8;
  static final int KIND_PIECE = 9;
  static final int KIND_FETCH = 10;
  static final int KIND_COMMITTED = 11;
  static final int KIND_PROPOSE = 12;
  static final int KIND_ASK_LEASE = 13;
  static final int KIND_LEASE = 14;
  static final int KIND_RELEASE = 15;
  static final int KIND_CLEAR = 16;
  static final int KIND_BUSY = 17;

  static final int KIND = 1;
  static final int STAMP = 2;
  static final int NONCE = 3;
  static final int STAGE = 4;
  static final int KNOWN_BOOTS = 5;
  static final int KNOWN_TERM = 6;
  static final int MATCH = 7;
  static final int TERM = 8;
  static final int LAST_TERM = 9;
  static final int LAST_INDEX = 10;
  static final int PLEDGE = 11;
  static final int MEMBERS = 12;
  static final int VERSION = 13;
  static final int PRE_VOTE = 14;
  static final int VOTE_GRANTED = 15;
  static final int SEQUENCE = 16;
  static final int PREV_INDEX = 17;
  static final int PREV_TERM = 18;
  static final int COMMIT = 19;
  static final int ENTRIES = 20;
  static final int PREV_ENTRY_MATCHES = 21;
  static final int INDEX = 22;
  static final int SIZE = 23;
  static final int OFFSET = 24;
  static final int MAX_BYTES = 25;
  static final int BYTES = 26;
  static final int FROM = 27;
  static final int SNAPSHOT = 28;
  static final int ORIGIN = 29;
  static final int NUMBER = 30;
  static final int COMMAND = 31;
  static final int FORWARDED = 32;
  static final int HOLDER = 33;
  static final int GROUPS = 34;
  static final int DISK = 35;
  static final int GRANTED = 36;
  static final int BLOCKED = 37;
  static final int RELEASED = 38;
  static final int CHANGES = 39;
  static final int REASON = 40;

  private static final int MAX_REASON_BYTES = 256;
  private static final int MAX_PIECE_BYTES = 12_000;
  private static final Stage[] STAGES = Stage.values();

  private int kind;
  private Stamp stamp = new Stamp(0, 0, 0, List.of());
  private long nonce;
  private Stage stage = Stage.FRESH;
  private long knownBoots;
  private long knownTerm;
  private long match;
  private long term;
  private long lastTerm;
  private long lastIndex;
  private final List<Long> pledge = RepeatedFields.list();
  private final List<Long> members = RepeatedFields.list();
  private long version;
  private boolean preVote;
  private boolean voteGranted;
  private long sequence;
  private long prevIndex;
  private long prevTerm;
  private long commit;
  private final List<Entry> entries = RepeatedFields.list();
  private boolean prevEntryMatches;
  private long index;
  private long size;
  private long offset;
  private long maxBytes;
  private byte[] bytes = new byte[0];
  private long from;
  private long snapshot;
  private long origin;
  private long number;
  private Command command = new Command.Nothing();
  private boolean forwarded;
  private long holder;
  private final SortedMap<Integer, Long> groups = RepeatedFields.map();
  private long disk;
  private final SortedMap<Integer, Long> granted = RepeatedFields.map();
  private final List<Integer> blocked = RepeatedFields.list();
  private final List<Integer> released = RepeatedFields.list();
  private final List<Long> changes = RepeatedFields.list();
  private String reason = "";

  // ---- fields ----

  /** Reads all fields of a message of any kind. */
  void read(FieldReader in) throws MalformedMessageException {
    while (in.next()) {
      readVoterField(in);
    }
  }

  private void readVoterField(FieldReader in) throws MalformedMessageException {
    switch (in.field()) {
      case KIND -> kind = (int) in.number(Integer.MAX_VALUE);
      case STAMP -> stamp = StampCodec.stamp(in.within());
      case NONCE -> nonce = in.fixed();
      case STAGE -> stage = Numbered.of(STAGES, (int) in.number(STAGES.length - 1));
      case KNOWN_BOOTS -> knownBoots = in.number();
      case KNOWN_TERM -> knownTerm = in.number();
      case PLEDGE -> RepeatedFields.addNumber(in, pledge);
      case MEMBERS -> RepeatedFields.addNumber(in, members);
      case VERSION -> version = in.number();
      default -> readElectionField(in);
    }
  }

  private void readElectionField(FieldReader in) throws MalformedMessageException {
    switch (in.field()) {
      case TERM -> term = in.number();
      case LAST_TERM -> lastTerm = in.number();
      case LAST_INDEX -> lastIndex = in.number();
      case PRE_VOTE -> preVote = in.flag();
      case VOTE_GRANTED -> voteGranted = in.flag();
      default -> readReplicationField(in);
    }
  }

  private void readReplicationField(FieldReader in) throws MalformedMessageException {
    switch (in.field()) {
      case MATCH -> match = in.number();
      case SEQUENCE -> sequence = in.number();
      case PREV_INDEX -> prevIndex = in.number();
      case PREV_TERM -> prevTerm = in.number();
      case COMMIT -> commit = in.number();
      case ENTRIES -> addEntry(in);
      case PREV_ENTRY_MATCHES -> prevEntryMatches = in.flag();
      case FROM -> from = in.number();
      default -> readSnapshotField(in);
    }
  }

  private void addEntry(FieldReader in) throws MalformedMessageException {
    RepeatedFields.checkLength(entries.size(), RepeatedFields.MAX_LENGTH);
    entries.add(CommandCodec.entry(in.within()));
  }

  private void readSnapshotField(FieldReader in) throws MalformedMessageException {
    switch (in.field()) {
      case INDEX -> index = in.number();
      case SIZE -> size = in.number();
      case OFFSET -> offset = in.number();
      case MAX_BYTES -> maxBytes = in.number();
      case BYTES -> bytes = in.bytes(MAX_PIECE_BYTES);
      case SNAPSHOT -> snapshot = in.number();
      default -> readProposalField(in);
    }
  }

  private void readProposalField(FieldReader in) throws MalformedMessageException {
    switch (in.field()) {
      case ORIGIN -> origin = in.fixed();
      case NUMBER -> number = in.number();
      case COMMAND -> command = CommandCodec.command(in.within());
      case FORWARDED -> forwarded = in.flag();
      case REASON -> reason = in.text(MAX_REASON_BYTES);
      default -> readLeaseField(in);
    }
  }

  private void readLeaseField(FieldReader in) throws MalformedMessageException {
    switch (in.field()) {
      case HOLDER -> holder = in.fixed();
      case GROUPS -> RepeatedFields.addVersion(in, groups);
      case DISK -> disk = in.fixed();
      case GRANTED -> RepeatedFields.addVersion(in, granted);
      case BLOCKED -> RepeatedFields.addInteger(in, blocked, Definition.MAX_GROUP);
      case RELEASED -> RepeatedFields.addInteger(in, released, Definition.MAX_GROUP);
      case CHANGES -> RepeatedFields.addNumber(in, changes);
      default -> {
        // Skips a field of a later release.
      }
    }
  }

  // ---- messages ----

  /** Returns the message with the field values read so far. */
  StatementMessage toMessage() throws MalformedMessageException {
    return switch (kind) {
      case KIND_HELLO -> new Hello(stamp, nonce, stage);
      case KIND_SEEN -> seen();
      case KIND_ASK_VOTE -> new AskVote(stamp, term, lastTerm, lastIndex, preVote);
      case KIND_VOTE -> new Vote(stamp, term, preVote, voteGranted);
      default -> toReplicationMessage();
    };
  }

  private Seen seen() {
    return new Seen(
        stamp,
        nonce,
        stage,
        knownBoots,
        knownTerm,
        match,
        term,
        lastTerm,
        lastIndex,
        pledge,
        members,
        version);
  }

  private StatementMessage toReplicationMessage() throws MalformedMessageException {
    return switch (kind) {
      case KIND_APPEND -> new Append(stamp, term, sequence, prevIndex, prevTerm, commit, entries);
      case KIND_APPENDED -> new Appended(stamp, term, sequence, prevEntryMatches, match);
      case KIND_OFFER -> new Offer(stamp, term, index, size);
      case KIND_ASK_PIECE -> new AskPiece(index, offset, maxBytes);
      case KIND_PIECE -> new Piece(index, offset, size, bytes);
      case KIND_FETCH -> new Fetch(from);
      case KIND_COMMITTED -> new Committed(from, entries, commit, snapshot, size);
      default -> toLeaseMessage();
    };
  }

  private StatementMessage toLeaseMessage() throws MalformedMessageException {
    return switch (kind) {
      case KIND_PROPOSE -> new Propose(origin, number, command, forwarded);
      case KIND_ASK_LEASE -> new AskLease(holder, sequence, groups);
      case KIND_LEASE ->
          new Lease(holder, sequence, disk, version, members, granted, blocked, commit);
      case KIND_RELEASE -> new Release(holder, sequence, released);
      case KIND_CLEAR -> new Clear(stamp, changes);
      case KIND_BUSY -> new Busy(origin, number, reason);
      default ->
          throw new MalformedMessageException("unknown kind " + kind + " of statement message");
    };
  }
}
