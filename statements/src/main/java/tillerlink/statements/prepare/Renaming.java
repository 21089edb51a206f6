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
 * A preparer that replaces renamed names in the text and in the list of used names. A statement
 * whose names were only altered keeps its text. If a name in the text could refer both to a renamed
 * name and to one that was not renamed, the statement is not prepared again, and a client has to
 * prepare it.
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
          && replacements.putIfAbsent(unqualifiedName(use), unqualifiedName(renamed)) != null) {
        return Optional.empty();
      }
    }
    boolean ambiguous =
        old.uses().stream()
            .filter(use -> !change.renamed().containsKey(use))
            .anyMatch(use -> replacements.containsKey(unqualifiedName(use)));
    if (ambiguous) {
      return Optional.empty();
    }
    String text = replaceNames(old.text(), replacements);
    return text.getBytes(StandardCharsets.UTF_8).length > Definition.MAX_TEXT_BYTES
        ? Optional.empty()
        : Optional.of(old.withText(text, uses));
  }

  /** Returns the part after the last dot or colon, such as city for {@code 17:orders.city}. */
  private static String unqualifiedName(String use) {
    return use.substring(Math.max(use.lastIndexOf('.'), use.lastIndexOf(':')) + 1);
  }

  private static String replaceNames(String text, Map<String, String> replacements) {
    StringBuilder result = new StringBuilder();
    for (Token token : Token.tokenize(text)) {
      boolean isName = token.kind() == Token.Kind.NAME;
      result.append(isName ? replaceName(token.text(), replacements) : token.text());
    }
    return result.toString();
  }

  private static String replaceName(String name, Map<String, String> replacements) {
    char quote = name.charAt(0);
    if (quote == '"' || quote == '`') {
      String unquoted = name.substring(1, name.length() - 1);
      return replacements.containsKey(unquoted) ? quote + replacements.get(unquoted) + quote : name;
    }
    return replacements.getOrDefault(name, name);
  }
}
