package tillerlink.statements.prepare;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;

/**
 * Replaces old names by new ones, in the text and in what the statement uses; a statement whose
 * names were only altered keeps its text. Where a name in the text may mean one that was renamed or
 * one that was not, the statement is left to people.
 */
public final class Renaming implements Preparer {
  @Override
  public Optional<Definition> prepareAgain(Definition old, Change change) {
    List<String> uses = new ArrayList<>();
    Map<String, String> replacements = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String use : old.uses()) {
      String renamed = change.renamed().getOrDefault(use, use);
      uses.add(renamed);
      if (!renamed.equals(use)
          && replacements.putIfAbsent(lastPart(use), lastPart(renamed)) != null) {
        return Optional.empty();
      }
    }
    boolean ambiguous =
        old.uses().stream()
            .filter(use -> !change.renamed().containsKey(use))
            .anyMatch(use -> replacements.containsKey(lastPart(use)));
    if (ambiguous) {
      return Optional.empty();
    }
    String text = replaceNames(old.text(), replacements);
    return text.getBytes(StandardCharsets.UTF_8).length > Definition.MAX_TEXT_BYTES
        ? Optional.empty()
        : Optional.of(old.withText(text, uses));
  }

  /** The part behind the last point or colon: of {@code 17:orders.city} it is city. */
  private static String lastPart(String use) {
    return use.substring(Math.max(use.lastIndexOf('.'), use.lastIndexOf(':')) + 1);
  }

  private static String replaceNames(String text, Map<String, String> replacements) {
    StringBuilder result = new StringBuilder();
    for (Token token : Token.all(text)) {
      boolean name = token.kind() == Token.Kind.NAME;
      result.append(name ? replaceName(token.text(), replacements) : token.text());
    }
    return result.toString();
  }

  private static String replaceName(String name, Map<String, String> replacements) {
    char quote = name.charAt(0);
    if (quote == '"' || quote == '`') {
      String within = name.substring(1, name.length() - 1);
      return replacements.containsKey(within) ? quote + replacements.get(within) + quote : name;
    }
    return replacements.getOrDefault(name, name);
  }
}
