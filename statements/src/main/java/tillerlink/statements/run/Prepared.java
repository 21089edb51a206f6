package tillerlink.statements.run;

import java.util.List;
import java.util.SortedMap;
import tillerlink.messages.statements.Definition;
import tillerlink.statements.catalog.CatalogEntry;
import tillerlink.statements.prepare.Template;

/**
 * A prepared statement as it was when it was looked up. It may be run as long as its catalog entry
 * has the same generation and versions.
 *
 * @param definition the statement's definition
 * @param generation the generation of the statement's text
 * @param versions the schema versions that it is prepared under, by the groups that it uses
 * @param entry the catalog entry from which it was created
 * @param template the parsed text of the statement
 */
public record Prepared(
    Definition definition,
    long generation,
    SortedMap<Integer, Long> versions,
    CatalogEntry entry,
    Template template) {

  /** Creates a prepared statement from a catalog entry. */
  public static Prepared of(CatalogEntry entry) {
    return new Prepared(
        entry.definition(),
        entry.generation(),
        entry.versions(),
        entry,
        Template.of(entry.definition()));
  }

  /** Returns whether this statement was created from that same entry object. */
  // Catalog entries are replaced as a whole, so comparing references is sufficient for a cache.
  @SuppressWarnings("ReferenceEquality")
  public boolean wasCreatedFrom(CatalogEntry other) {
    return entry == other;
  }

  /**
   * Returns the text of a run.
   *
   * @param values the values of the parameters in order; null renders as {@code NULL}
   * @param includeVersions whether the text starts with a comment that contains the schema
   *     versions, for engines that check them
   * @throws IllegalArgumentException if a value is not of its type, there are too few or too many
   *     values, or the rendered text is too long; the message is sent to the client
   */
  public String text(List<String> values, boolean includeVersions) {
    return template.render(values, includeVersions ? versionsComment() : "");
  }

  /**
   * Returns the schema versions as a comment, in which {@code 17=4} means that group 17 has version
   * 4.
   */
  private String versionsComment() {
    StringBuilder comment = new StringBuilder("/*+ schema");
    versions.forEach(
        (group, version) -> comment.append(' ').append(group).append('=').append(version));
    return comment.append(" */ ").toString();
  }
}
