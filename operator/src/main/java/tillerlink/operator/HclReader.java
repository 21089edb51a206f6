package tillerlink.operator;

import com.bertramlabs.plugins.hcl4j.HCLParserException;
import com.bertramlabs.plugins.hcl4j.Symbols;
import com.bertramlabs.plugins.hcl4j.symbols.HCLArray;
import com.bertramlabs.plugins.hcl4j.symbols.HCLAttribute;
import com.bertramlabs.plugins.hcl4j.symbols.HCLBlock;
import com.bertramlabs.plugins.hcl4j.symbols.HCLValue;
import com.bertramlabs.plugins.hcl4j.symbols.Symbol;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reader of HCL files into sections. Values are literals: strings, numbers, booleans, and lists of
 * these.
 */
final class HclReader {
  private static final long MAX_BYTES = 1 << 20;
  private static final int MAX_DEPTH = 8;
  private static final Pattern LINE_NUMBER = Pattern.compile("[Ll]ine:? (\\d+)");

  private HclReader() {}

  /**
   * Reads a file.
   *
   * @param errors receives the errors of the file
   * @return the top-level section, whose blocks and attributes are those of the file
   * @throws IOException if the file cannot be read, exceeds 1 MiB or is not UTF-8
   */
  static Section read(Path path, List<ConfigError> errors) throws IOException {
    if (Files.size(path) > MAX_BYTES) {
      throw new IOException(path + ": file size exceeds " + MAX_BYTES + " bytes");
    }
    String text;
    try {
      text =
          StandardCharsets.UTF_8
              .newDecoder()
              .decode(ByteBuffer.wrap(Files.readAllBytes(path)))
              .toString();
    } catch (CharacterCodingException e) {
      throw new IOException(path + ": file is not valid UTF-8", e);
    }
    return parse(text, errors);
  }

  /**
   * Reads a text. If the text is not HCL, one error is recorded: at the first unmatched delimiter
   * if there is one, otherwise at the line that the library reports.
   *
   * @param errors receives the errors of the text
   */
  static Section parse(String text, List<ConfigError> errors) throws IOException {
    Section root = new Section("", List.of(), 1, 1, errors);
    DelimiterCheck delimiters = new DelimiterCheck(text);
    ConfigError delimiterError = delimiters.findFirstError();
    if (delimiterError != null) {
      errors.add(delimiterError);
      return root;
    }
    try {
      List<Symbol> symbols = Symbols.read(new StringReader(text));
      for (Symbol symbol : symbols) {
        addTo(root, symbol, errors, 0);
      }
      checkAllAttributesRead(symbols, delimiters.assignments(), errors);
    } catch (HCLParserException | RuntimeException | Error e) {
      if (e instanceof VirtualMachineError fatal) {
        throw fatal;
      }
      Matcher lineNumber = LINE_NUMBER.matcher(String.valueOf(e.getMessage()));
      errors.add(
          new ConfigError(
              lineNumber.find() ? Integer.parseInt(lineNumber.group(1)) : 1,
              1,
              "invalid HCL syntax"));
    }
    return root;
  }

  /**
   * Records an error for each assignment sign on whose line no attribute was read. Guards against
   * attributes that the library skips silently.
   */
  private static void checkAllAttributesRead(
      List<Symbol> symbols, List<ConfigError> assignments, List<ConfigError> errors) {
    List<Integer> lines = new ArrayList<>();
    symbols.forEach(symbol -> collectLines(symbol, lines));
    for (ConfigError assignment : assignments) {
      if (!lines.remove((Integer) assignment.line())) {
        errors.add(assignment);
      }
    }
  }

  /** Adds the lines of a symbol's attributes to a list, including those of its child symbols. */
  private static void collectLines(Symbol symbol, List<Integer> lines) {
    if (symbol instanceof HCLAttribute) {
      lines.add(line(symbol));
    }
    children(symbol).forEach(child -> collectLines(child, lines));
  }

  private static int line(Symbol symbol) {
    return symbol.getLine() + 1;
  }

  private static int column(Symbol symbol) {
    return symbol.getColumn() + 1;
  }

  /** Adds a symbol and its child symbols to a section, and records errors for invalid ones. */
  private static void addTo(Section target, Symbol symbol, List<ConfigError> errors, int depth) {
    if (symbol instanceof HCLBlock block && depth < MAX_DEPTH) {
      List<String> names = block.blockNames;
      Section section =
          new Section(
              names.get(0),
              List.copyOf(names.subList(1, names.size())),
              line(symbol),
              column(symbol),
              errors);
      target.add(section);
      for (Symbol child : children(symbol)) {
        addTo(section, child, errors, depth + 1);
      }
    } else if (symbol instanceof HCLAttribute) {
      List<Symbol> value = children(symbol);
      Object literal = value.size() == 1 ? literal(value.get(0)) : null;
      if (literal == null) {
        errors.add(
            new ConfigError(
                line(symbol),
                column(symbol),
                "'"
                    + symbol.getName()
                    + "' is not a literal: expected a quoted string, a number, a boolean or a list"
                    + " of these"));
      }
      target.put(symbol.getName(), new Section.Value(literal, line(symbol), column(symbol)));
    } else {
      errors.add(
          new ConfigError(
              line(symbol),
              column(symbol),
              "expected an attribute, or a block nested at most " + MAX_DEPTH + " levels deep"));
    }
  }

  private static List<Symbol> children(Symbol symbol) {
    return symbol.getChildren() == null ? List.of() : symbol.getChildren();
  }

  /** Returns the value of a literal, or null if the symbol is not a literal. */
  private static Object literal(Symbol symbol) {
    if (symbol instanceof HCLArray) {
      List<Object> list = new ArrayList<>();
      for (Symbol child : children(symbol)) {
        list.add(literal(child));
      }
      return list.contains(null) ? null : list;
    }
    if (!(symbol instanceof HCLValue value) || value.value == null) {
      return null;
    }
    String text = String.valueOf(value.value);
    return switch (value.type) {
      case "string" -> text;
      case "boolean" -> Boolean.valueOf(text);
      case "number" -> number(text);
      default -> null;
    };
  }

  /** Returns the value of a number, or null if the text is not a number. */
  private static Object number(String text) {
    try {
      return Double.valueOf(text);
    } catch (NumberFormatException e) {
      return null;
    }
  }
}
