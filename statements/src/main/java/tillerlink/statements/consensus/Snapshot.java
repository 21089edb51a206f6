package tillerlink.statements.consensus;

import java.util.ArrayList;
import java.util.List;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/**
 * A snapshot of the state machine and of the members at an index of the log.
 *
 * @param index the index of the last entry that the state covers
 * @param term the term of that entry
 * @param base the index after which the log still has entries
 * @param baseTerm the term of the entry at {@code base}
 * @param version the index of the entry that last changed the members; 0 if none did
 * @param members the disks that vote, in the order of the voters' names; empty before the log is
 *     founded
 * @param state the encoded state of the state machine
 */
record Snapshot(
    long index,
    long term,
    long base,
    long baseTerm,
    long version,
    List<Long> members,
    byte[] state) {
  private static final int INDEX = 1;
  private static final int TERM = 2;
  private static final int BASE = 3;
  private static final int BASE_TERM = 4;
  private static final int VERSION = 5;
  private static final int MEMBERS = 6;
  private static final int STATE = 7;
  private static final int MEMBER_DISK = 1;
  private static final int STATE_BYTES_MAX = 1 << 20;

  Snapshot {
    members = List.copyOf(members);
  }

  Snapshot withBase(long newBase, long newBaseTerm) {
    return new Snapshot(index, term, newBase, newBaseTerm, version, members, state);
  }

  byte[] write() {
    FieldWriter to =
        new FieldWriter()
            .number(INDEX, index)
            .number(TERM, term)
            .number(BASE, base)
            .number(BASE_TERM, baseTerm)
            .number(VERSION, version);
    members.forEach(disk -> to.within(MEMBERS, new FieldWriter().fixed(MEMBER_DISK, disk)));
    return to.bytes(STATE, state).done();
  }

  static Snapshot read(byte[] bytes) throws MalformedMessageException {
    long index = 0;
    long term = 0;
    long base = 0;
    long baseTerm = 0;
    long version = 0;
    List<Long> members = new ArrayList<>();
    byte[] state = {};
    for (FieldReader in = new FieldReader(bytes); in.next(); ) {
      switch (in.field()) {
        case INDEX -> index = in.number();
        case TERM -> term = in.number();
        case BASE -> base = in.number();
        case BASE_TERM -> baseTerm = in.number();
        case VERSION -> version = in.number();
        case MEMBERS -> members.add(disk(in.within()));
        case STATE -> state = in.bytes(STATE_BYTES_MAX);
        default -> {}
      }
    }
    return new Snapshot(index, term, base, baseTerm, version, members, state);
  }

  private static long disk(FieldReader in) throws MalformedMessageException {
    long disk = 0;
    while (in.next()) {
      disk = in.field() == MEMBER_DISK ? in.fixed() : disk;
    }
    return disk;
  }
}
