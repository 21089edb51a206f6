package tillerlink.messages.statements;

import java.util.SortedMap;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/**
 * Encodes and decodes commands: defines the kind and field numbers, and holds the field values read
 * so far from one command. A field that is missing from the command keeps its default value.
 */
final class CommandFields {
  private static final int KIND_NOTHING = 1;
  private static final int KIND_PREPARE = 2;
  private static final int KIND_DROP = 3;
  private static final int KIND_ANNOUNCE = 4;
  private static final int KIND_TAKE_BACK = 5;
  private static final int KIND_EFFECT = 6;
  private static final int KIND_ANEW = 7;
  private static final int KIND_READMIT = 8;

  private static final int KIND = 1;
  private static final int DEFINITION = 2;

  /** The generation that a command replaces or drops; also used by {@link Command.Anew}. */
  private static final int OVER = 3;

  private static final int VERSIONS = 4;

  /** The name of a statement or of a voter. */
  private static final int NAME = 5;

  private static final int CHANGE = 6;
  private static final int CHANGE_INDEX = 7;
  private static final int DISK = 8;

  private int kind;
  private Definition definition;
  private long over;
  private final SortedMap<Integer, Long> versions = RepeatedFields.map();
  private String name = "";
  private Change change;
  private long changeIndex;
  private long disk;

  // ---- writing ----

  static FieldWriter write(Command command) {
    FieldWriter out = new FieldWriter();
    if (command instanceof Command.Nothing) {
      out.number(KIND, KIND_NOTHING);
    } else if (command instanceof Command.Prepare prepare) {
      write(prepare, out);
    } else if (command instanceof Command.Drop drop) {
      out.number(KIND, KIND_DROP).text(NAME, drop.name()).signed(OVER, drop.over());
    } else if (command instanceof Command.Announce announce) {
      out.number(KIND, KIND_ANNOUNCE).within(CHANGE, CommandCodec.change(announce.change()));
    } else if (command instanceof Command.TakeBack takeBack) {
      out.number(KIND, KIND_TAKE_BACK).number(CHANGE_INDEX, takeBack.change());
    } else if (command instanceof Command.Effect effect) {
      out.number(KIND, KIND_EFFECT).number(CHANGE_INDEX, effect.change());
    } else if (command instanceof Command.Anew anew) {
      write(anew, out);
    } else if (command instanceof Command.Readmit readmit) {
      out.number(KIND, KIND_READMIT).text(NAME, readmit.voter()).fixed(DISK, readmit.disk());
    }
    return out;
  }

  private static void write(Command.Prepare prepare, FieldWriter out) {
    out.number(KIND, KIND_PREPARE)
        .within(DEFINITION, CommandCodec.definition(prepare.definition()))
        .signed(OVER, prepare.over());
    RepeatedFields.versions(out, VERSIONS, prepare.versions());
  }

  private static void write(Command.Anew anew, FieldWriter out) {
    out.number(KIND, KIND_ANEW).text(NAME, anew.name()).signed(OVER, anew.generation());
    if (anew.definition() != null) {
      out.within(DEFINITION, CommandCodec.definition(anew.definition()));
    }
  }

  // ---- reading ----

  Command read(FieldReader in) throws MalformedMessageException {
    while (in.next()) {
      readField(in);
    }
    return toCommand();
  }

  private void readField(FieldReader in) throws MalformedMessageException {
    switch (in.field()) {
      case KIND -> kind = (int) in.number(Integer.MAX_VALUE);
      case DEFINITION -> definition = CommandCodec.definition(in.within());
      case OVER -> over = in.signed();
      case VERSIONS -> RepeatedFields.addVersion(in, versions);
      case NAME -> name = in.text(Definition.MAX_NAME_BYTES);
      case CHANGE -> change = CommandCodec.change(in.within());
      case CHANGE_INDEX -> changeIndex = in.number();
      case DISK -> disk = in.fixed();
      default -> {
        // Skips a field of a later release.
      }
    }
  }

  private Command toCommand() throws MalformedMessageException {
    return switch (kind) {
      case KIND_NOTHING -> new Command.Nothing();
      case KIND_PREPARE -> new Command.Prepare(required(definition), versions, over);
      case KIND_DROP -> new Command.Drop(name, over);
      case KIND_ANNOUNCE -> new Command.Announce(required(change));
      case KIND_TAKE_BACK -> new Command.TakeBack(changeIndex);
      case KIND_EFFECT -> new Command.Effect(changeIndex);
      case KIND_ANEW -> new Command.Anew(name, over, definition);
      case KIND_READMIT -> new Command.Readmit(name, disk);
      default ->
          throw new MalformedMessageException("unknown kind " + kind + " of statement log command");
    };
  }

  private static <T> T required(T value) throws MalformedMessageException {
    if (value == null) {
      throw new MalformedMessageException(
          "prepare or announce command lacks its definition or its change");
    }
    return value;
  }
}
