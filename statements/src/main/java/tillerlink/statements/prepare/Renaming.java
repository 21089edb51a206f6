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
 * Puts new names in the place of old ones, in the text and in what it uses; what was only altered
 * keeps its text. Where a name in the text may mean one that was renamed or one that wasn't, it is
 * left to people.
 */
public final class Renaming implements Preparer {
  @Override
  public Optional<Definition> anew(Definition old, Change change) {
    List<String> uses = new ArrayList<>();
    Map<String, String> words = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String use : old.uses()) {
      String now = change.renamed().getOrDefault(use, use);
      uses.add(now);
      if (!now.equals(use) && words.putIfAbsent(last(use), last(now)) != null) {
        return Optional.empty();
      }
    }
    boolean unclear =
        old.uses().stream()
            .anyMatch(use -> !change.renamed().containsKey(use) && words.containsKey(last(use)));
    if (unclear) {
      return Optional.empty();
    }
    StringBuilder text = new StringBuilder();
    for (Token token : Token.all(old.text())) {
      text.append(token.kind() == Token.Kind.NAME ? renamed(token.text(), words) : token.text());
    }
    Definition next = old.withText(text.toString(), uses);
    return text.toString().getBytes(StandardCharsets.UTF_8).length > Definition.MAX_TEXT_BYTES
        ? Optional.empty()
        : Optional.of(next);
  }

  /** The part behind the last point or colon: of 17:orders.city it is city. */
  private static String last(String use) {
    return use.substring(Math.max(use.lastIndexOf('.'), use.lastIndexOf(':')) + 1);
  }

  private static String renamed(String token, Map<String, String> words) {
    char quote = token.charAt(0);
    if (quote == '"' || quote == '`') {
      String within = token.substring(1, token.length() - 1);
      return words.containsKey(within) ? quote + words.get(within) + quote : token;
    }
    return words.getOrDefault(token, token);
  }
}
