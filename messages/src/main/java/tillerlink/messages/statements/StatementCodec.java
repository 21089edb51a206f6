package tillerlink.messages.statements;

import java.util.List;
import java.util.SortedMap;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
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
 * Writes and reads what gateways say about prepared statements. A field has one number, whatever
 * message it is in.
 */
public final class StatementCodec {
  private static final int KIND = 1;
  private static final int STAMP = 2;
  private static final int NONCE = 3;
  private static final int STAGE = 4;
  private static final int KNOWN = 5;
  private static final int MARK = 6;
  private static final int MATCH = 7;
  private static final int TERM = 8;
  private static final int LAST_TERM = 9;
  private static final int LAST_INDEX = 10;
  private static final int PLEDGE = 11;
  private static final int MEMBERS = 12;
  private static final int VERSION = 13;
  private static final int PRE = 14;
  private static final int GIVEN = 15;
  private static final int SEQUENCE = 16;
  private static final int PREV_INDEX = 17;
  private static final int PREV_TERM = 18;
  private static final int COMMIT = 19;
  private static final int ENTRIES = 20;
  private static final int FITS = 21;
  private static final int INDEX = 22;
  private static final int SIZE = 23;
  private static final int OFFSET = 24;
  private static final int MOST = 25;
  private static final int BYTES = 26;
  private static final int FROM = 27;
  private static final int SNAPSHOT = 28;
  private static final int ORIGIN = 29;
  private static final int NUMBER = 30;
  private static final int COMMAND = 31;
  private static final int ONWARD = 32;
  private static final int HOLDER = 33;
  private static final int GROUPS = 34;
  private static final int DISK = 35;
  private static final int GRANTED = 36;
  private static final int BLOCKED = 37;
  private static final int RELEASED = 38;
  private static final int CHANGES = 39;
  private static final int WORDS = 40;
  private static final int WORDS_MOST = 256;
  private static final int BYTES_MOST = 12_000;

  private StatementCodec() {}

  // ---- writing ----

  public static byte[] write(StatementMessage of) {
    FieldWriter to = new FieldWriter();
    if (of instanceof Hello it) {
      to.number(KIND, 1)
          .within(STAMP, stamp(it.stamp()))
          .fixed(NONCE, it.nonce())
          .number(STAGE, it.stage().ordinal());
    } else if (of instanceof Seen it) {
      to.number(KIND, 2)
          .within(STAMP, stamp(it.stamp()))
          .fixed(NONCE, it.nonce())
          .number(STAGE, it.stage().ordinal())
          .number(KNOWN, it.known())
          .number(MARK, it.mark())
          .number(MATCH, it.match())
          .number(TERM, it.term())
          .number(LAST_TERM, it.lastTerm())
          .number(LAST_INDEX, it.lastIndex())
          .number(VERSION, it.version());
      Lists.numbers(to, PLEDGE, it.pledge());
      Lists.numbers(to, MEMBERS, it.members());
    } else if (of instanceof AskVote it) {
      to.number(KIND, 3)
          .within(STAMP, stamp(it.stamp()))
          .number(TERM, it.term())
          .number(LAST_TERM, it.lastTerm())
          .number(LAST_INDEX, it.lastIndex())
          .flag(PRE, it.pre());
    } else if (of instanceof Vote it) {
      to.number(KIND, 4)
          .within(STAMP, stamp(it.stamp()))
          .number(TERM, it.term())
          .flag(PRE, it.pre())
          .flag(GIVEN, it.given());
    } else if (of instanceof Append it) {
      to.number(KIND, 5)
          .within(STAMP, stamp(it.stamp()))
          .number(TERM, it.term())
          .number(SEQUENCE, it.sequence())
          .number(PREV_INDEX, it.prevIndex())
          .number(PREV_TERM, it.prevTerm())
          .number(COMMIT, it.commit());
      it.entries().forEach(entry -> to.within(ENTRIES, CommandCodec.entry(entry)));
    } else if (of instanceof Appended it) {
      to.number(KIND, 6)
          .within(STAMP, stamp(it.stamp()))
          .number(TERM, it.term())
          .number(SEQUENCE, it.sequence())
          .flag(FITS, it.fits())
          .number(MATCH, it.match());
    } else if (of instanceof Offer it) {
      to.number(KIND, 7)
          .within(STAMP, stamp(it.stamp()))
          .number(TERM, it.term())
          .number(INDEX, it.index())
          .number(SIZE, it.size());
    } else if (of instanceof AskPiece it) {
      to.number(KIND, 8)
          .number(INDEX, it.index())
          .number(OFFSET, it.offset())
          .number(MOST, it.most());
    } else if (of instanceof Piece it) {
      to.number(KIND, 9)
          .number(INDEX, it.index())
          .number(OFFSET, it.offset())
          .number(SIZE, it.size())
          .bytes(BYTES, it.bytes());
    } else if (of instanceof Fetch it) {
      to.number(KIND, 10).number(FROM, it.from());
    } else if (of instanceof Committed it) {
      to.number(KIND, 11)
          .number(FROM, it.from())
          .number(COMMIT, it.commit())
          .number(SNAPSHOT, it.snapshot())
          .number(SIZE, it.size());
      it.entries().forEach(entry -> to.within(ENTRIES, CommandCodec.entry(entry)));
    } else if (of instanceof Propose it) {
      to.number(KIND, 12)
          .fixed(ORIGIN, it.origin())
          .number(NUMBER, it.number())
          .within(COMMAND, CommandCodec.command(it.command()))
          .flag(ONWARD, it.onward());
    } else if (of instanceof AskLease it) {
      to.number(KIND, 13).fixed(HOLDER, it.holder()).number(SEQUENCE, it.sequence());
      Lists.versions(to, GROUPS, it.groups());
    } else if (of instanceof Lease it) {
      to.number(KIND, 14)
          .fixed(HOLDER, it.holder())
          .number(SEQUENCE, it.sequence())
          .fixed(DISK, it.disk())
          .number(VERSION, it.version())
          .number(COMMIT, it.commit());
      Lists.numbers(to, MEMBERS, it.members());
      Lists.versions(to, GRANTED, it.granted());
      Lists.integers(to, BLOCKED, it.blocked());
    } else if (of instanceof Release it) {
      to.number(KIND, 15).fixed(HOLDER, it.holder()).number(SEQUENCE, it.sequence());
      Lists.integers(to, RELEASED, it.groups());
    } else if (of instanceof Clear it) {
      to.number(KIND, 16).within(STAMP, stamp(it.stamp()));
      Lists.numbers(to, CHANGES, it.changes());
    } else if (of instanceof Busy it) {
      to.number(KIND, 17)
          .fixed(ORIGIN, it.origin())
          .number(NUMBER, it.number())
          .text(WORDS, it.words());
    }
    return to.done();
  }

  private static FieldWriter stamp(Stamp of) {
    FieldWriter to =
        new FieldWriter().fixed(1, of.voters()).fixed(2, of.disk()).number(3, of.boots());
    return Lists.numbers(to, 4, of.seen());
  }

  // ---- reading ----

  /**
   * @throws MalformedMessageException if it is no message, or none that this release knows
   */
  public static StatementMessage read(byte[] bytes) throws MalformedMessageException {
    Fields has = new Fields();
    for (FieldReader in = new FieldReader(bytes); in.next(); ) {
      take(in, has);
    }
    return switch (has.kind) {
      case 1 -> new Hello(has.stamp, has.nonce, has.stage);
      case 2 ->
          new Seen(
              has.stamp,
              has.nonce,
              has.stage,
              has.known,
              has.mark,
              has.match,
              has.term,
              has.lastTerm,
              has.lastIndex,
              has.pledge,
              has.members,
              has.version);
      case 3 -> new AskVote(has.stamp, has.term, has.lastTerm, has.lastIndex, has.pre);
      case 4 -> new Vote(has.stamp, has.term, has.pre, has.given);
      case 5 ->
          new Append(
              has.stamp,
              has.term,
              has.sequence,
              has.prevIndex,
              has.prevTerm,
              has.commit,
              has.entries);
      case 6 -> new Appended(has.stamp, has.term, has.sequence, has.fits, has.match);
      case 7 -> new Offer(has.stamp, has.term, has.index, has.size);
      case 8 -> new AskPiece(has.index, has.offset, has.most);
      case 9 -> new Piece(has.index, has.offset, has.size, has.bytes);
      case 10 -> new Fetch(has.from);
      case 11 -> new Committed(has.from, has.entries, has.commit, has.snapshot, has.size);
      case 12 -> new Propose(has.origin, has.number, has.command, has.onward);
      case 13 -> new AskLease(has.holder, has.sequence, has.groups);
      case 14 ->
          new Lease(
              has.holder,
              has.sequence,
              has.disk,
              has.version,
              has.members,
              has.granted,
              has.blocked,
              has.commit);
      case 15 -> new Release(has.holder, has.sequence, has.released);
      case 16 -> new Clear(has.stamp, has.changes);
      case 17 -> new Busy(has.origin, has.number, has.words);
      default -> throw new MalformedMessageException("no message that is known");
    };
  }

  private static Stamp stamp(FieldReader in) throws MalformedMessageException {
    long voters = 0;
    long disk = 0;
    long boots = 0;
    List<Long> seen = Lists.list();
    while (in.next()) {
      switch (in.field()) {
        case 1 -> voters = in.fixed();
        case 2 -> disk = in.fixed();
        case 3 -> boots = in.number();
        case 4 -> Lists.addNumber(in, seen);
        default -> {}
      }
    }
    return new Stamp(voters, disk, boots, seen);
  }

  private static void take(FieldReader in, Fields to) throws MalformedMessageException {
    switch (in.field()) {
      case KIND -> to.kind = (int) in.number(Integer.MAX_VALUE);
      case STAMP -> to.stamp = stamp(in.within());
      case NONCE -> to.nonce = in.fixed();
      case STAGE -> to.stage = Stage.values()[(int) in.number(Stage.values().length - 1)];
      case KNOWN -> to.known = in.number();
      case MARK -> to.mark = in.number();
      case MATCH -> to.match = in.number();
      case TERM -> to.term = in.number();
      case LAST_TERM -> to.lastTerm = in.number();
      case LAST_INDEX -> to.lastIndex = in.number();
      case PLEDGE -> Lists.addNumber(in, to.pledge);
      case MEMBERS -> Lists.addNumber(in, to.members);
      case VERSION -> to.version = in.number();
      case PRE -> to.pre = in.flag();
      case GIVEN -> to.given = in.flag();
      case SEQUENCE -> to.sequence = in.number();
      case PREV_INDEX -> to.prevIndex = in.number();
      case PREV_TERM -> to.prevTerm = in.number();
      case COMMIT -> to.commit = in.number();
      case ENTRIES -> {
        Lists.room(to.entries.size(), Lists.MOST);
        to.entries.add(CommandCodec.entry(in.within()));
      }
      case FITS -> to.fits = in.flag();
      case INDEX -> to.index = in.number();
      case SIZE -> to.size = in.number();
      case OFFSET -> to.offset = in.number();
      case MOST -> to.most = in.number();
      case BYTES -> to.bytes = in.bytes(BYTES_MOST);
      case FROM -> to.from = in.number();
      case SNAPSHOT -> to.snapshot = in.number();
      case ORIGIN -> to.origin = in.fixed();
      case NUMBER -> to.number = in.number();
      case COMMAND -> to.command = CommandCodec.command(in.within());
      case ONWARD -> to.onward = in.flag();
      case HOLDER -> to.holder = in.fixed();
      case GROUPS -> Lists.addVersion(in, to.groups);
      case DISK -> to.disk = in.fixed();
      case GRANTED -> Lists.addVersion(in, to.granted);
      case BLOCKED -> Lists.addInteger(in, to.blocked, Definition.GROUP_MOST);
      case RELEASED -> Lists.addInteger(in, to.released, Definition.GROUP_MOST);
      case CHANGES -> Lists.addNumber(in, to.changes);
      case WORDS -> to.words = in.text(WORDS_MOST);
      default -> {}
    }
  }

  /** What was read so far; what a message doesn't have stays as it is. */
  private static final class Fields {
    private int kind;
    private Stamp stamp = new Stamp(0, 0, 0, List.of());
    private long nonce;
    private Stage stage = Stage.FRESH;
    private long known;
    private long mark;
    private long match;
    private long term;
    private long lastTerm;
    private long lastIndex;
    private final List<Long> pledge = Lists.list();
    private final List<Long> members = Lists.list();
    private long version;
    private boolean pre;
    private boolean given;
    private long sequence;
    private long prevIndex;
    private long prevTerm;
    private long commit;
    private final List<Entry> entries = Lists.list();
    private boolean fits;
    private long index;
    private long size;
    private long offset;
    private long most;
    private byte[] bytes = new byte[0];
    private long from;
    private long snapshot;
    private long origin;
    private long number;
    private Command command = new Command.Nothing();
    private boolean onward;
    private long holder;
    private final SortedMap<Integer, Long> groups = Lists.map();
    private long disk;
    private final SortedMap<Integer, Long> granted = Lists.map();
    private final List<Integer> blocked = Lists.list();
    private final List<Integer> released = Lists.list();
    private final List<Long> changes = Lists.list();
    private String words = "";
  }
}
