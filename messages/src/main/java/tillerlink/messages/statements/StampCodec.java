package tillerlink.messages.statements;

import java.util.List;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/** Encodes and decodes the stamps of voters. */
final class StampCodec {
  private static final int VOTERS = 1;
  private static final int DISK = 2;
  private static final int BOOTS = 3;
  private static final int SEEN = 4;

  private StampCodec() {}

  static FieldWriter stamp(Stamp stamp) {
    FieldWriter out =
        new FieldWriter()
            .fixed(VOTERS, stamp.voters())
            .fixed(DISK, stamp.disk())
            .number(BOOTS, stamp.boots());
    return RepeatedFields.numbers(out, SEEN, stamp.seen());
  }

  static Stamp stamp(FieldReader in) throws MalformedMessageException {
    long voters = 0;
    long disk = 0;
    long boots = 0;
    List<Long> seen = RepeatedFields.list();
    while (in.next()) {
      switch (in.field()) {
        case VOTERS -> voters = in.fixed();
        case DISK -> disk = in.fixed();
        case BOOTS -> boots = in.number();
        case SEEN -> RepeatedFields.addNumber(in, seen);
        default -> {}
      }
    }
    return new Stamp(voters, disk, boots, seen);
  }
}
