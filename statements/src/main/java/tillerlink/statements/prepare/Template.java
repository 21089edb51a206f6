package tillerlink.statements.prepare;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import tillerlink.messages.statements.Definition;

/** The text of a statement, cut at its parameters: a run puts values between the pieces. */
public final class Template {
  /** Characters of a rendered text at most. */
  private static final int RENDERED_MAX = 64 * 1024;

  /** Characters of a parameter's mark at most, with its {@code $}. */
  private static final int MARK_MAX = 4;

  private final Definition definition;

  /** One more than there are slots. */
  private final List<String> pieces;

  /** The index of the parameter in each slot. */
  private final int[] slots;

  private Template(Definition definition, List<String> pieces, List<Integer> slots) {
    this.definition = definition;
    this.pieces = List.copyOf(pieces);
    this.slots = slots.stream().mapToInt(Integer::intValue).toArray();
  }

  /**
   * Cuts a definition's text. A mark in a string, a quoted name or a comment is no parameter.
   *
   * @throws IllegalArgumentException if a parameter that the text names has no type, or one with a
   *     type isn't named; the message is for people
   */
  public static Template of(Definition definition) {
    List<String> pieces = new ArrayList<>();
    List<Integer> slots = new ArrayList<>();
    StringBuilder piece = new StringBuilder();
    for (Token token : Token.all(definition.text())) {
      if (token.kind() == Token.Kind.PARAMETER) {
        pieces.add(piece.toString());
        piece.setLength(0);
        slots.add(parameterNumber(token.text(), definition.parameters().size()) - 1);
      } else {
        piece.append(token.text());
      }
    }
    pieces.add(piece.toString());
    int named = new TreeSet<>(slots).size();
    if (named != definition.parameters().size()) {
      throw new IllegalArgumentException(
          "parameters: "
              + definition.parameters().size()
              + " have a type, "
              + named
              + " are in the text");
    }
    return new Template(definition, pieces, slots);
  }

  private static int parameterNumber(String mark, int highest) {
    int number = mark.length() > MARK_MAX ? 0 : Integer.parseInt(mark.substring(1));
    if (number < 1 || number > highest) {
      throw new IllegalArgumentException("parameter " + mark + " has no type");
    }
    return number;
  }

  /**
   * The text with values in the place of the parameters.
   *
   * @param values null stands for no value
   * @param prefix put before the text, as a comment for engines that check schema versions; may be
   *     empty
   * @throws IllegalArgumentException if a value is not of its type, or there are too few or too
   *     many; the message names the parameter
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
    for (int i = 0; i < slots.length; i++) {
      text.append(pieces.get(i)).append(literals[slots[i]]);
      if (text.length() > RENDERED_MAX) {
        throw new IllegalArgumentException(
            "parameters: the text would be longer than " + RENDERED_MAX);
      }
    }
    return text.append(pieces.get(slots.length)).toString();
  }
}
