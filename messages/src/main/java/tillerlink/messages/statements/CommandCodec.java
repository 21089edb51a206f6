package tillerlink.messages.statements;

import java.util.List;
import java.util.SortedMap;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.Numbered;

/** Encodes and decodes definitions, schema changes, commands and entries of the statement log. */
public final class CommandCodec {
  private static final int DEFINITION_NAME = 1;
  private static final int DEFINITION_TEXT = 2;
  private static final int DEFINITION_PARAMETER = 3;
  private static final int DEFINITION_GROUP = 4;
  private static final int DEFINITION_USES = 5;
  private static final int DEFINITION_REQUEST_CLASS = 6;
  private static final int DEFINITION_EFFECT = 7;

  private static final int PARAMETER_TYPE = 1;

  private static final int CHANGE_GROUP = 1;
  private static final int CHANGE_REMOVED = 2;
  private static final int CHANGE_ALTERED = 3;
  private static final int CHANGE_RENAMED = 4;

  private static final int ENTRY_INDEX = 1;
  private static final int ENTRY_TERM = 2;
  private static final int ENTRY_ORIGIN = 3;
  private static final int ENTRY_NUMBER = 4;
  private static final int ENTRY_COMMAND = 5;

  private static final ParameterType[] TYPES = ParameterType.values();
  private static final RunEffect[] EFFECTS = RunEffect.values();

  private CommandCodec() {}

  // ---- definitions ----

  /** Encodes a definition. */
  public static FieldWriter definition(Definition definition) {
    FieldWriter out =
        new FieldWriter()
            .text(DEFINITION_NAME, definition.name())
            .text(DEFINITION_TEXT, definition.text());
    definition
        .parameters()
        .forEach(
            type ->
                out.within(
                    DEFINITION_PARAMETER, new FieldWriter().number(PARAMETER_TYPE, type.number())));
    RepeatedFields.integers(out, DEFINITION_GROUP, definition.groups());
    RepeatedFields.texts(out, DEFINITION_USES, definition.uses());
    return out.text(DEFINITION_REQUEST_CLASS, definition.requestClass())
        .number(DEFINITION_EFFECT, definition.effect().number());
  }

  /**
   * Decodes a definition.
   *
   * @throws MalformedMessageException if a field is malformed or a value exceeds its limit
   */
  public static Definition definition(FieldReader in) throws MalformedMessageException {
    String name = "";
    String text = "";
    List<Integer> types = RepeatedFields.list();
    List<Integer> groups = RepeatedFields.list();
    List<String> uses = RepeatedFields.list();
    String requestClass = "";
    RunEffect effect = RunEffect.PURE;
    while (in.next()) {
      switch (in.field()) {
        case DEFINITION_NAME -> name = in.text(Definition.MAX_NAME_BYTES);
        case DEFINITION_TEXT -> text = in.text(Definition.MAX_TEXT_BYTES);
        case DEFINITION_PARAMETER -> RepeatedFields.addInteger(in, types, TYPES.length - 1);
        case DEFINITION_GROUP -> RepeatedFields.addInteger(in, groups, Definition.MAX_GROUP);
        case DEFINITION_USES -> RepeatedFields.addText(in, uses);
        case DEFINITION_REQUEST_CLASS -> requestClass = in.text(Definition.MAX_NAME_BYTES);
        case DEFINITION_EFFECT ->
            effect = Numbered.of(EFFECTS, (int) in.number(EFFECTS.length - 1));
        default -> {}
      }
    }
    List<ParameterType> parameters =
        types.stream().map(number -> Numbered.of(TYPES, number)).toList();
    return new Definition(name, text, parameters, groups, uses, requestClass, effect);
  }

  // ---- changes ----

  /** Encodes a change of the schema. */
  public static FieldWriter change(Change change) {
    FieldWriter out = new FieldWriter();
    RepeatedFields.integers(out, CHANGE_GROUP, change.groups());
    RepeatedFields.texts(out, CHANGE_REMOVED, change.removed());
    RepeatedFields.texts(out, CHANGE_ALTERED, change.altered());
    return RepeatedFields.pairs(out, CHANGE_RENAMED, change.renamed());
  }

  /**
   * Decodes a change of the schema.
   *
   * @throws MalformedMessageException if a field is malformed or a value exceeds its limit
   */
  public static Change change(FieldReader in) throws MalformedMessageException {
    List<Integer> groups = RepeatedFields.list();
    List<String> removed = RepeatedFields.list();
    List<String> altered = RepeatedFields.list();
    SortedMap<String, String> renamed = RepeatedFields.map();
    while (in.next()) {
      switch (in.field()) {
        case CHANGE_GROUP -> RepeatedFields.addInteger(in, groups, Definition.MAX_GROUP);
        case CHANGE_REMOVED -> RepeatedFields.addText(in, removed);
        case CHANGE_ALTERED -> RepeatedFields.addText(in, altered);
        case CHANGE_RENAMED -> RepeatedFields.addPair(in, renamed);
        default -> {}
      }
    }
    return new Change(groups, removed, altered, renamed);
  }

  // ---- commands ----

  /** Encodes a command. */
  public static FieldWriter command(Command command) {
    return CommandFields.write(command);
  }

  /**
   * Decodes a command.
   *
   * @throws MalformedMessageException if a field is malformed or missing, or the kind is unknown to
   *     this release
   */
  public static Command command(FieldReader in) throws MalformedMessageException {
    return new CommandFields().read(in);
  }

  // ---- entries ----

  /** Encodes an entry of the log. */
  public static FieldWriter entry(Entry entry) {
    return new FieldWriter()
        .number(ENTRY_INDEX, entry.index())
        .number(ENTRY_TERM, entry.term())
        .fixed(ENTRY_ORIGIN, entry.origin())
        .number(ENTRY_NUMBER, entry.number())
        .within(ENTRY_COMMAND, command(entry.command()));
  }

  /**
   * Decodes an entry of the log.
   *
   * @throws MalformedMessageException if a field is malformed, or the index or the command is
   *     missing
   */
  public static Entry entry(FieldReader in) throws MalformedMessageException {
    long index = 0;
    long term = 0;
    long origin = 0;
    long number = 0;
    Command command = null;
    while (in.next()) {
      switch (in.field()) {
        case ENTRY_INDEX -> index = in.number();
        case ENTRY_TERM -> term = in.number();
        case ENTRY_ORIGIN -> origin = in.fixed();
        case ENTRY_NUMBER -> number = in.number();
        case ENTRY_COMMAND -> command = command(in.within());
        default -> {}
      }
    }
    if (command == null || index == 0) {
      throw new MalformedMessageException(
          "log entry with index " + index + " lacks an index above 0 or its command");
    }
    return new Entry(index, term, origin, number, command);
  }
}
