package tillerlink.statements.consensus;

import java.util.ArrayList;
import java.util.List;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/**
 * The state at an index of the log.
 *
 * @param base entries from behind here on are still in the log
 * @param version the index that the members date from
 * @param members the disks that vote, in the order of the voters' names; empty before the founding
 */
record Snapshot(
    long index,
    long term,
    long base,
    long baseTerm,
    long version,
    List<Long> members,
    byte[] state) {
  Snapshot {
    members = List.copyOf(members);
  }

  Snapshot on(long otherBase, long otherTerm) {
    return new Snapshot(index, term, otherBase, otherTerm, version, members, state);
  }

  byte[] write() {
    FieldWriter to =
        new FieldWriter()
            .number(1, index)
            .number(2, term)
            .number(3, base)
            .number(4, baseTerm)
            .number(5, version);
    members.forEach(disk -> to.within(6, new FieldWriter().fixed(1, disk)));
    return to.bytes(7, state).done();
  }

  static Snapshot read(byte[] bytes) throws MalformedMessageException {
    long[] numbers = new long[6];
    List<Long> members = new ArrayList<>();
    byte[] state = {};
    for (FieldReader in = new FieldReader(bytes); in.next(); ) {
      switch (in.field()) {
        case 1, 2, 3, 4, 5 -> numbers[in.field()] = in.number();
        case 6 -> members.add(disk(in.within()));
        case 7 -> state = in.bytes(1 << 20);
        default -> {}
      }
    }
    return new Snapshot(numbers[1], numbers[2], numbers[3], numbers[4], numbers[5], members, state);
  }

  private static long disk(FieldReader in) throws MalformedMessageException {
    long disk = 0;
    while (in.next()) {
      disk = in.field() == 1 ? in.fixed() : disk;
    }
    return disk;
  }
}
