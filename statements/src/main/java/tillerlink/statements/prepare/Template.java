package tillerlink.statements.prepare;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import tillerlink.messages.statements.Definition;

/**
 * The text of a statement, split at its parameter placeholders. A run is rendered by inserting the
 * values between the fragments.
 */
public final class Template {
  /** The maximum length of a rendered text, in characters. */
  private static final int RENDERED_MAX = 64 * 1024;

  /** The maximum length of a placeholder including its {@code $}, in characters. */
  private static final int PLACEHOLDER_MAX = 4;

  private final Definition definition;

  /** The fragments of text around the placeholders, one more than there are placeholders. */
  private final List<String> fragments;

  /** The index of the parameter for each placeholder, from 0. */
  private final int[] parameterIndexes;

  private Template(Definition definition, List<String> fragments, List<Integer> parameterIndexes) {
    this.definition = definition;
    this.fragments = List.copyOf(fragments);
    this.parameterIndexes = parameterIndexes.stream().mapToInt(Integer::intValue).toArray();
  }

  /**
   * Splits a definition's text at its placeholders. A placeholder within a string, a quoted name or
   * a comment is ordinary text.
   *
   * @throws IllegalArgumentException if a placeholder has no parameter type, a parameter type has
   *     no placeholder, or a string, quoted name or comment is not terminated; the message is sent
   *     to the client
   */
  public static Template of(Definition definition) {
    List<String> fragments = new ArrayList<>();
    List<Integer> parameterIndexes = new ArrayList<>();
    StringBuilder fragment = new StringBuilder();
    for (Token token : Token.tokenize(definition.text())) {
      if (token.kind() == Token.Kind.PARAMETER) {
        fragments.add(fragment.toString());
        fragment.setLength(0);
        parameterIndexes.add(parameterNumber(token.text(), definition.parameters().size()) - 1);
      } else {
        fragment.append(token.text());
      }
    }
    fragments.add(fragment.toString());
    int placeholderCount = new TreeSet<>(parameterIndexes).size();
    if (placeholderCount != definition.parameters().size()) {
      throw new IllegalArgumentException(
          "parameters: "
              + definition.parameters().size()
              + " have a type, "
              + placeholderCount
              + " are in the text");
    }
    return new Template(definition, fragments, parameterIndexes);
  }

  private static int parameterNumber(String placeholder, int parameterCount) {
    int number =
        placeholder.length() > PLACEHOLDER_MAX ? 0 : Integer.parseInt(placeholder.substring(1));
    if (number < 1 || number > parameterCount) {
      throw new IllegalArgumentException("parameter " + placeholder + " has no type");
    }
    return number;
  }

  /**
   * Returns the text with the placeholders replaced by literals of the values.
   *
   * @param values the values of the parameters in order; null renders as {@code NULL}
   * @param prefix a comment to put before the text for engines that check schema versions; may be
   *     empty
   * @throws IllegalArgumentException if a value is not of its type, there are too few or too many
   *     values, or the rendered text is too long; the message is sent to the client
   */
  public String render(List<String> values, String prefix) {
    if (values.size() != definition.parameters().size()) {
      throw new IllegalArgumentException(
          "parameters: "
              + definition.parameters().size()
              + " are wanted, "
              + values.size()
              + " came");
    }
    String[] literals = new String[values.size()];
    for (int i = 0; i < literals.length; i++) {
      literals[i] = Literal.of(i + 1, definition.parameters().get(i), values.get(i));
    }
    StringBuilder text = new StringBuilder(prefix);
    for (int i = 0; i < parameterIndexes.length; i++) {
      text.append(fragments.get(i)).append(literals[parameterIndexes[i]]);
      if (text.length() > RENDERED_MAX) {
        throw new IllegalArgumentException(
            "parameters: the text would be longer than " + RENDERED_MAX);
      }
    }
    return text.append(fragments.get(parameterIndexes.length)).toString();
  }
}
