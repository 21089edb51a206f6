package tillerlink.statements.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.CommandCodec;
import tillerlink.messages.statements.Definition;

/**
 * The codec for snapshots of a whole catalog. Two gateways that have applied the same log entries
 * write the same bytes.
 */
public final class Snapshots {
  private static final int MESSAGE_BYTES_MAX = 256;

  /** The field numbers of a catalog. */
  private static final int APPLIED = 1;

  private static final int VERSION = 2;
  private static final int WAITING_CHANGE = 3;
  private static final int EFFECTIVE_CHANGE = 4;
  private static final int STATEMENT = 5;
  private static final int ANSWER = 6;

  /** The field numbers of a group's schema version. */
  private static final int VERSION_GROUP = 1;

  private static final int VERSION_NUMBER = 2;

  /** The field numbers of a change. */
  private static final int CHANGE_ID = 1;

  private static final int CHANGE_CONTENT = 2;

  /** The field numbers of a statement. */
  private static final int STATEMENT_DEFINITION = 1;

  private static final int STATEMENT_GENERATION = 2;
  private static final int STATEMENT_STATE = 3;
  private static final int STATEMENT_CHANGE = 4;
  private static final int STATEMENT_VERSION = 5;

  /** The field numbers of the outcome of a process's last request. */
  private static final int ANSWER_ORIGIN = 1;

  private static final int ANSWER_NUMBER = 2;
  private static final int ANSWER_VERDICT = 3;
  private static final int ANSWER_ID = 4;
  private static final int ANSWER_MESSAGE = 5;

  private Snapshots() {}

  // ---- writing ----

  /** Encodes the catalog. */
  public static byte[] write(Catalog catalog) {
    FieldWriter out = new FieldWriter().number(APPLIED, catalog.applied);
    catalog.versions.forEach((group, version) -> out.within(VERSION, version(group, version)));
    catalog.waiting.forEach((id, change) -> out.within(WAITING_CHANGE, change(id, change)));
    catalog.awaitingRepreparation.forEach(
        (id, change) -> out.within(EFFECTIVE_CHANGE, change(id, change)));
    catalog.statements.values().forEach(entry -> out.within(STATEMENT, statement(entry)));
    catalog.answers.forEach((origin, answer) -> out.within(ANSWER, answer(origin, answer)));
    return out.done();
  }

  private static FieldWriter version(int group, long version) {
    return new FieldWriter().number(VERSION_GROUP, group).number(VERSION_NUMBER, version);
  }

  private static FieldWriter change(long id, Change change) {
    return new FieldWriter()
        .number(CHANGE_ID, id)
        .within(CHANGE_CONTENT, CommandCodec.change(change));
  }

  private static FieldWriter statement(CatalogEntry entry) {
    FieldWriter out =
        new FieldWriter()
            .within(STATEMENT_DEFINITION, CommandCodec.definition(entry.definition()))
            .number(STATEMENT_GENERATION, entry.generation())
            .number(STATEMENT_STATE, entry.state().storedNumber())
            .number(STATEMENT_CHANGE, entry.change());
    entry
        .versions()
        .forEach((group, version) -> out.within(STATEMENT_VERSION, version(group, version)));
    return out;
  }

  private static FieldWriter answer(long origin, Catalog.Answer answer) {
    Outcome outcome = answer.outcome();
    return new FieldWriter()
        .fixed(ANSWER_ORIGIN, origin)
        .number(ANSWER_NUMBER, answer.number())
        .number(ANSWER_VERDICT, outcome.verdict().storedNumber())
        .number(ANSWER_ID, outcome.id())
        .text(ANSWER_MESSAGE, outcome.message());
  }

  // ---- reading ----

  /**
   * Decodes a catalog.
   *
   * @throws MalformedMessageException if the bytes are malformed, or the catalog exceeds its limits
   *     on statements or table groups
   */
  public static Catalog read(byte[] bytes) throws MalformedMessageException {
    Catalog catalog = new Catalog();
    List<CatalogEntry> entries = new ArrayList<>();
    for (FieldReader in = new FieldReader(bytes); in.next(); ) {
      switch (in.field()) {
        case APPLIED -> catalog.applied = in.number();
        case VERSION -> readVersion(in.within(), catalog.versions);
        case WAITING_CHANGE -> readChange(in.within(), catalog.waiting);
        case EFFECTIVE_CHANGE -> readChange(in.within(), catalog.awaitingRepreparation);
        case STATEMENT -> entries.add(readStatement(in.within()));
        case ANSWER -> readAnswer(in.within(), catalog);
        default -> {}
      }
    }
    if (entries.size() > Catalog.STATEMENTS_MAX || catalog.versions.size() > Catalog.GROUPS_MAX) {
      throw new MalformedMessageException(
          "catalog snapshot has "
              + entries.size()
              + " statements and "
              + catalog.versions.size()
              + " table groups, maximum is "
              + Catalog.STATEMENTS_MAX
              + " and "
              + Catalog.GROUPS_MAX);
    }
    entries.forEach(catalog::put);
    return catalog;
  }

  private static void readVersion(FieldReader in, SortedMap<Integer, Long> versions)
      throws MalformedMessageException {
    int group = 0;
    long version = 0;
    while (in.next()) {
      switch (in.field()) {
        case VERSION_GROUP -> group = (int) in.number(Definition.MAX_GROUP);
        case VERSION_NUMBER -> version = in.number();
        default -> {}
      }
    }
    versions.put(group, version);
  }

  private static void readChange(FieldReader in, SortedMap<Long, Change> changes)
      throws MalformedMessageException {
    long id = 0;
    Change change = null;
    while (in.next()) {
      switch (in.field()) {
        case CHANGE_ID -> id = in.number();
        case CHANGE_CONTENT -> change = CommandCodec.change(in.within());
        default -> {}
      }
    }
    if (change == null) {
      throw new MalformedMessageException("change " + id + " in catalog snapshot has no content");
    }
    changes.put(id, change);
  }

  private static CatalogEntry readStatement(FieldReader in) throws MalformedMessageException {
    Definition definition = null;
    long generation = 0;
    State state = State.READY;
    long change = 0;
    TreeMap<Integer, Long> versions = new TreeMap<>();
    while (in.next()) {
      switch (in.field()) {
        case STATEMENT_DEFINITION -> definition = CommandCodec.definition(in.within());
        case STATEMENT_GENERATION -> generation = in.number();
        case STATEMENT_STATE -> state = StoredNumbers.read(in, State.values(), State::storedNumber);
        case STATEMENT_CHANGE -> change = in.number();
        case STATEMENT_VERSION -> readVersion(in.within(), versions);
        default -> {}
      }
    }
    if (definition == null) {
      throw new MalformedMessageException(
          "statement of generation " + generation + " in catalog snapshot has no definition");
    }
    return new CatalogEntry(definition, generation, versions, state, change);
  }

  private static void readAnswer(FieldReader in, Catalog catalog) throws MalformedMessageException {
    long origin = 0;
    long number = 0;
    Outcome.Verdict verdict = Outcome.Verdict.DONE;
    long id = 0;
    String message = "";
    while (in.next()) {
      switch (in.field()) {
        case ANSWER_ORIGIN -> origin = in.fixed();
        case ANSWER_NUMBER -> number = in.number();
        case ANSWER_VERDICT ->
            verdict =
                StoredNumbers.read(in, Outcome.Verdict.values(), Outcome.Verdict::storedNumber);
        case ANSWER_ID -> id = in.number();
        case ANSWER_MESSAGE -> message = in.text(MESSAGE_BYTES_MAX);
        default -> {}
      }
    }
    catalog.answers.put(origin, new Catalog.Answer(number, new Outcome(verdict, id, message)));
  }
}
