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

/** Reads HCL into sections. Values are literals: strings, numbers, booleans, and lists of these. */
final class HclReader {
  private static final long MAX_BYTES = 1 << 20;
  private static final int MAX_DEPTH = 8;
  private static final Pattern PLACE = Pattern.compile("[Ll]ine:? (\\d+)");

  private HclReader() {}

  static Section read(Path path, List<ConfigError> faults) throws IOException {
    if (Files.size(path) > MAX_BYTES) {
      throw new IOException(path + ": more than " + MAX_BYTES + " bytes");
    }
    String text;
    try {
      text =
          StandardCharsets.UTF_8
              .newDecoder()
              .decode(ByteBuffer.wrap(Files.readAllBytes(path)))
              .toString();
    } catch (CharacterCodingException e) {
      throw new IOException(path + ": not UTF-8", e);
    }
    return of(text, faults);
  }

  /**
   * Reads a text. One that is no HCL gives one error, at the place where the braces or quotes go
   * wrong.
   */
  static Section of(String text, List<ConfigError> faults) throws IOException {
    Section all = new Section("", List.of(), 1, 1, faults);
    DelimiterCheck delimiters = new DelimiterCheck(text);
    ConfigError delimiterError = delimiters.find();
    if (delimiterError != null) {
      faults.add(delimiterError);
      return all;
    }
    try {
      List<Symbol> symbols = Symbols.read(new StringReader(text));
      for (Symbol symbol : symbols) {
        put(all, symbol, faults, 0);
      }
      checkAllAttributesRead(symbols, delimiters.assignments(), faults);
    } catch (HCLParserException | RuntimeException | Error e) {
      if (e instanceof VirtualMachineError fatal) {
        throw fatal;
      }
      Matcher place = PLACE.matcher(String.valueOf(e.getMessage()));
      faults.add(
          new ConfigError(
              place.find() ? Integer.parseInt(place.group(1)) : 1, 1, "this can't be read as HCL"));
    }
    return all;
  }

  /**
   * Guards against attributes that the library skips silently: as many must have been read as there
   * are signs of assignment.
   */
  private static void checkAllAttributesRead(
      List<Symbol> symbols, List<ConfigError> assignments, List<ConfigError> faults) {
    List<Integer> lines = new ArrayList<>();
    symbols.forEach(symbol -> collectLines(symbol, lines));
    for (ConfigError assignment : assignments) {
      if (!lines.remove((Integer) assignment.line())) {
        faults.add(assignment);
      }
    }
  }

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

  private static void put(Section into, Symbol symbol, List<ConfigError> faults, int depth) {
    if (symbol instanceof HCLBlock block && depth < MAX_DEPTH) {
      List<String> names = block.blockNames;
      Section section =
          new Section(
              names.get(0),
              List.copyOf(names.subList(1, names.size())),
              line(symbol),
              column(symbol),
              faults);
      into.add(section);
      for (Symbol child : children(symbol)) {
        put(section, child, faults, depth + 1);
      }
    } else if (symbol instanceof HCLAttribute) {
      List<Symbol> value = children(symbol);
      Object literal = value.size() == 1 ? literal(value.get(0)) : null;
      if (literal == null) {
        faults.add(
            new ConfigError(
                line(symbol),
                column(symbol),
                "'"
                    + symbol.getName()
                    + "' is not a plain value; texts stand in quotes, and nothing is worked out"
                    + " here"));
      }
      into.put(symbol.getName(), new Section.Value(literal, line(symbol), column(symbol)));
    } else {
      faults.add(
          new ConfigError(line(symbol), column(symbol), "neither a block nor a value with a name"));
    }
  }

  private static List<Symbol> children(Symbol symbol) {
    return symbol.getChildren() == null ? List.of() : symbol.getChildren();
  }

  /** The value of a literal; null if it is none. */
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

  private static Object number(String text) {
    try {
      return Double.valueOf(text);
    } catch (NumberFormatException e) {
      return null;
    }
  }
}
