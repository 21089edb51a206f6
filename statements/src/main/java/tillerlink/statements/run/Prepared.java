package tillerlink.statements.run;

import java.util.List;
import java.util.SortedMap;
import tillerlink.messages.statements.Definition;
import tillerlink.statements.catalog.CatalogEntry;
import tillerlink.statements.prepare.Template;

/**
 * A statement as it stood when it was looked up. It is run only as long as it stands so.
 *
 * @param generation which text of the name it is
 * @param versions the schema versions that it is prepared under
 */
public record Prepared(
    Definition definition,
    long generation,
    SortedMap<Integer, Long> versions,
    CatalogEntry standing,
    Template template) {
  /**
   * The text of a run.
   *
   * @param fence whether engines are told the schema versions, for those that check them
   * @throws IllegalArgumentException if a value is not of its type; the message is for people
   */
  public String text(List<String> values, boolean fence) {
    return template.render(values, fence ? fence() : "");
  }

  /** As 17=4: the group and its version. */
  private String fence() {
    StringBuilder words = new StringBuilder("/*+ schema");
    versions.forEach(
        (group, version) -> words.append(' ').append(group).append('=').append(version));
    return words.append(" */ ").toString();
  }
}
