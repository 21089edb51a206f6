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
 * Writes a catalog whole, and reads it. Two gateways that have applied the same entries write the
 * same bytes.
 */
public final class Snapshots {
  private static final int WORDS_MOST = 256;

  private Snapshots() {}

  public static byte[] write(Catalog of) {
    FieldWriter to = new FieldWriter().number(1, of.applied);
    of.versions.forEach(
        (group, version) -> to.within(2, new FieldWriter().number(1, group).number(2, version)));
    of.waiting.forEach((id, change) -> to.within(3, change(id, change)));
    of.asking.forEach((id, change) -> to.within(4, change(id, change)));
    of.statements.values().forEach(it -> to.within(5, standing(it)));
    of.answered.forEach(
        (origin, it) ->
            to.within(
                6,
                new FieldWriter()
                    .fixed(1, origin)
                    .number(2, it.number())
                    .number(3, it.outcome().verdict().ordinal())
                    .number(4, it.outcome().id())
                    .text(5, it.outcome().words())));
    return to.done();
  }

  private static FieldWriter change(long id, Change change) {
    return new FieldWriter().number(1, id).within(2, CommandCodec.change(change));
  }

  private static FieldWriter standing(CatalogEntry of) {
    FieldWriter to =
        new FieldWriter()
            .within(1, CommandCodec.definition(of.definition()))
            .number(2, of.generation())
            .number(3, of.state().ordinal())
            .number(4, of.change());
    of.versions()
        .forEach(
            (group, version) ->
                to.within(5, new FieldWriter().number(1, group).number(2, version)));
    return to;
  }

  public static Catalog read(byte[] bytes) throws MalformedMessageException {
    Catalog to = new Catalog();
    List<CatalogEntry> standings = new ArrayList<>();
    for (FieldReader in = new FieldReader(bytes); in.next(); ) {
      switch (in.field()) {
        case 1 -> to.applied = in.number();
        case 2 -> version(in.within(), to.versions);
        case 3 -> change(in.within(), to.waiting);
        case 4 -> change(in.within(), to.asking);
        case 5 -> standings.add(standing(in.within()));
        case 6 -> answered(in.within(), to);
        default -> {}
      }
    }
    if (standings.size() > Catalog.STATEMENTS_MOST || to.versions.size() > Catalog.GROUPS_MOST) {
      throw new MalformedMessageException("a catalog beyond its bounds");
    }
    standings.forEach(to::put);
    return to;
  }

  private static void version(FieldReader in, SortedMap<Integer, Long> to)
      throws MalformedMessageException {
    int group = 0;
    long version = 0;
    while (in.next()) {
      switch (in.field()) {
        case 1 -> group = (int) in.number(Definition.MAX_GROUP);
        case 2 -> version = in.number();
        default -> {}
      }
    }
    to.put(group, version);
  }

  private static void change(FieldReader in, SortedMap<Long, Change> to)
      throws MalformedMessageException {
    long id = 0;
    Change change = null;
    while (in.next()) {
      switch (in.field()) {
        case 1 -> id = in.number();
        case 2 -> change = CommandCodec.change(in.within());
        default -> {}
      }
    }
    if (change == null) {
      throw new MalformedMessageException("a change without its groups");
    }
    to.put(id, change);
  }

  private static CatalogEntry standing(FieldReader in) throws MalformedMessageException {
    Definition definition = null;
    long generation = 0;
    State state = State.READY;
    long change = 0;
    TreeMap<Integer, Long> versions = new TreeMap<>();
    while (in.next()) {
      switch (in.field()) {
        case 1 -> definition = CommandCodec.definition(in.within());
        case 2 -> generation = in.number();
        case 3 -> state = State.values()[(int) in.number(State.values().length - 1)];
        case 4 -> change = in.number();
        case 5 -> version(in.within(), versions);
        default -> {}
      }
    }
    if (definition == null) {
      throw new MalformedMessageException("a statement without its text");
    }
    return new CatalogEntry(definition, generation, versions, state, change);
  }

  private static void answered(FieldReader in, Catalog to) throws MalformedMessageException {
    long origin = 0;
    long number = 0;
    int verdict = 0;
    long id = 0;
    String words = "";
    while (in.next()) {
      switch (in.field()) {
        case 1 -> origin = in.fixed();
        case 2 -> number = in.number();
        case 3 -> verdict = (int) in.number(Outcome.Verdict.values().length - 1);
        case 4 -> id = in.number();
        case 5 -> words = in.text(WORDS_MOST);
        default -> {}
      }
    }
    Outcome outcome = new Outcome(Outcome.Verdict.values()[verdict], id, words);
    to.answered.put(origin, new Catalog.Answered(number, outcome));
  }
}
