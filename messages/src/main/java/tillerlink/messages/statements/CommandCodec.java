package tillerlink.messages.statements;

import java.util.List;
import java.util.SortedMap;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;

/** Writes and reads definitions, changes, commands and entries. */
public final class CommandCodec {
  private static final int NOTHING = 1;
  private static final int PREPARE = 2;
  private static final int DROP = 3;
  private static final int ANNOUNCE = 4;
  private static final int TAKE_BACK = 5;
  private static final int EFFECT = 6;
  private static final int ANEW = 7;
  private static final int READMIT = 8;

  private CommandCodec() {}

  // ---- definitions ----

  public static FieldWriter definition(Definition of) {
    FieldWriter to = new FieldWriter().text(1, of.name()).text(2, of.text());
    of.parameters().forEach(type -> to.within(3, new FieldWriter().number(1, type.ordinal())));
    Lists.integers(to, 4, of.groups());
    Lists.texts(to, 5, of.uses());
    return to.text(6, of.requestClass()).number(7, of.effect().ordinal());
  }

  public static Definition definition(FieldReader in) throws MalformedMessageException {
    String name = "";
    String text = "";
    List<Integer> types = Lists.list();
    List<Integer> groups = Lists.list();
    List<String> uses = Lists.list();
    String requestClass = "";
    RunEffect effect = RunEffect.PURE;
    while (in.next()) {
      switch (in.field()) {
        case 1 -> name = in.text(Definition.NAME_MOST);
        case 2 -> text = in.text(Definition.TEXT_MOST);
        case 3 -> Lists.addInteger(in, types, ParameterType.values().length - 1);
        case 4 -> Lists.addInteger(in, groups, Definition.GROUP_MOST);
        case 5 -> Lists.addText(in, uses);
        case 6 -> requestClass = in.text(Definition.NAME_MOST);
        case 7 -> effect = RunEffect.values()[(int) in.number(RunEffect.values().length - 1)];
        default -> {}
      }
    }
    return new Definition(
        name,
        text,
        types.stream().map(i -> ParameterType.values()[i]).toList(),
        groups,
        uses,
        requestClass,
        effect);
  }

  // ---- changes ----

  public static FieldWriter change(Change of) {
    FieldWriter to = Lists.integers(new FieldWriter(), 1, of.groups());
    Lists.texts(to, 2, of.removed());
    Lists.texts(to, 3, of.altered());
    return Lists.pairs(to, 4, of.renamed());
  }

  public static Change change(FieldReader in) throws MalformedMessageException {
    List<Integer> groups = Lists.list();
    List<String> removed = Lists.list();
    List<String> altered = Lists.list();
    SortedMap<String, String> renamed = Lists.map();
    while (in.next()) {
      switch (in.field()) {
        case 1 -> Lists.addInteger(in, groups, Definition.GROUP_MOST);
        case 2 -> Lists.addText(in, removed);
        case 3 -> Lists.addText(in, altered);
        case 4 -> Lists.addPair(in, renamed);
        default -> {}
      }
    }
    return new Change(groups, removed, altered, renamed);
  }

  // ---- commands ----

  public static FieldWriter command(Command of) {
    FieldWriter to = new FieldWriter();
    if (of instanceof Command.Nothing) {
      to.number(1, NOTHING);
    } else if (of instanceof Command.Prepare it) {
      to.number(1, PREPARE).within(2, definition(it.definition())).signed(3, it.over());
      Lists.versions(to, 4, it.versions());
    } else if (of instanceof Command.Drop it) {
      to.number(1, DROP).text(5, it.name()).signed(3, it.over());
    } else if (of instanceof Command.Announce it) {
      to.number(1, ANNOUNCE).within(6, change(it.change()));
    } else if (of instanceof Command.TakeBack it) {
      to.number(1, TAKE_BACK).number(7, it.change());
    } else if (of instanceof Command.Effect it) {
      to.number(1, EFFECT).number(7, it.change());
    } else if (of instanceof Command.Anew it) {
      to.number(1, ANEW).text(5, it.name()).signed(3, it.generation());
      if (it.definition() != null) {
        to.within(2, definition(it.definition()));
      }
    } else if (of instanceof Command.Readmit it) {
      to.number(1, READMIT).text(5, it.voter()).fixed(8, it.disk());
    }
    return to;
  }

  public static Command command(FieldReader in) throws MalformedMessageException {
    int kind = 0;
    Definition definition = null;
    Change change = null;
    SortedMap<Integer, Long> versions = Lists.map();
    String name = "";
    long over = 0;
    long of = 0;
    long disk = 0;
    while (in.next()) {
      switch (in.field()) {
        case 1 -> kind = (int) in.number(Integer.MAX_VALUE);
        case 2 -> definition = definition(in.within());
        case 3 -> over = in.signed();
        case 4 -> Lists.addVersion(in, versions);
        case 5 -> name = in.text(Definition.NAME_MOST);
        case 6 -> change = change(in.within());
        case 7 -> of = in.number();
        case 8 -> disk = in.fixed();
        default -> {}
      }
    }
    if (kind == PREPARE && definition == null || kind == ANNOUNCE && change == null) {
      throw new MalformedMessageException("a command without its object");
    }
    return switch (kind) {
      case NOTHING -> new Command.Nothing();
      case PREPARE -> new Command.Prepare(definition, versions, over);
      case DROP -> new Command.Drop(name, over);
      case ANNOUNCE -> new Command.Announce(change);
      case TAKE_BACK -> new Command.TakeBack(of);
      case EFFECT -> new Command.Effect(of);
      case ANEW -> new Command.Anew(name, over, definition);
      case READMIT -> new Command.Readmit(name, disk);
      default -> throw new MalformedMessageException("no command that is known");
    };
  }

  // ---- entries ----

  public static FieldWriter entry(Entry of) {
    return new FieldWriter()
        .number(1, of.index())
        .number(2, of.term())
        .fixed(3, of.origin())
        .number(4, of.number())
        .within(5, command(of.command()));
  }

  public static Entry entry(FieldReader in) throws MalformedMessageException {
    long index = 0;
    long term = 0;
    long origin = 0;
    long number = 0;
    Command command = null;
    while (in.next()) {
      switch (in.field()) {
        case 1 -> index = in.number();
        case 2 -> term = in.number();
        case 3 -> origin = in.fixed();
        case 4 -> number = in.number();
        case 5 -> command = command(in.within());
        default -> {}
      }
    }
    if (command == null || index == 0) {
      throw new MalformedMessageException("an entry without its command");
    }
    return new Entry(index, term, origin, number, command);
  }
}
