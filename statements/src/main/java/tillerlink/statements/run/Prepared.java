package tillerlink.statements.run;

import java.util.List;
import java.util.SortedMap;
import tillerlink.messages.statements.Definition;
import tillerlink.statements.catalog.CatalogEntry;
import tillerlink.statements.prepare.Template;

/**
 * A prepared statement as it was looked up. It may be run as long as its catalog entry has the same
 * generation and versions.
 *
 * @param generation which text of the name it is
 * @param versions the schema version of each group that it is prepared under
 * @param entry the catalog entry that it was made of
 */
public record Prepared(
    Definition definition,
    long generation,
    SortedMap<Integer, Long> versions,
    CatalogEntry entry,
    Template template) {

  /** A statement ready to be rendered. */
  public static Prepared of(CatalogEntry entry) {
    return new Prepared(
        entry.definition(),
        entry.generation(),
        entry.versions(),
        entry,
        Template.of(entry.definition()));
  }

  /** Whether it was made of that very entry. */
  // A catalog entry is replaced as a whole, so that comparing references is enough for a cache.
  @SuppressWarnings("ReferenceEquality")
  public boolean isOf(CatalogEntry other) {
    return entry == other;
  }

  /**
   * The text of a run.
   *
   * @param fence whether the text carries the schema versions, for engines that check them
   * @throws IllegalArgumentException if a value is not of its type; the message is for people
   */
  public String text(List<String> values, boolean fence) {
    return template.render(values, fence ? fence() : "");
  }

  /** The versions as a comment: {@code 17=4} is a group and its version. */
  private String fence() {
    StringBuilder words = new StringBuilder("/*+ schema");
    versions.forEach(
        (group, version) -> words.append(' ').append(group).append('=').append(version));
    return words.append(" */ ").toString();
  }
}
