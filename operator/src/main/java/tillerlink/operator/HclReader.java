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
 * Reads HCL into sections. Only plain values are taken: texts, numbers, true and false, and lists
 * of these.
 */
final class HclReader {
  private static final long BYTES_MOST = 1 << 20;
  private static final int DEEP_MOST = 8;
  private static final Pattern PLACE = Pattern.compile("[Ll]ine:? (\\d+)");

  private HclReader() {}

  static Section read(Path path, List<Fault> faults) throws IOException {
    if (Files.size(path) > BYTES_MOST) {
      throw new IOException(path + ": more than " + BYTES_MOST + " bytes");
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
   * What can't be read as HCL at all is one fault, with the place where the braces or quotes go
   * wrong.
   */
  static Section of(String text, List<Fault> faults) throws IOException {
    Section all = new Section("", List.of(), 1, 1, faults);
    Balance balance = new Balance(text);
    Fault unbalanced = balance.find();
    if (unbalanced != null) {
      faults.add(unbalanced);
      return all;
    }
    try {
      List<Symbol> symbols = Symbols.read(new StringReader(text));
      for (Symbol symbol : symbols) {
        put(all, symbol, faults, 0);
      }
      checkAllRead(symbols, balance.assigned(), faults);
    } catch (HCLParserException | RuntimeException | Error e) {
      if (e instanceof VirtualMachineError) {
        throw (VirtualMachineError) e;
      }
      Matcher place = PLACE.matcher(String.valueOf(e.getMessage()));
      faults.add(
          new Fault(
              place.find() ? Integer.parseInt(place.group(1)) : 1, 1, "this can't be read as HCL"));
    }
    return all;
  }

  /**
   * Guards against what the library passes over without a word: as many names must have been read
   * as have values.
   */
  private static void checkAllRead(List<Symbol> symbols, List<Fault> assigned, List<Fault> faults) {
    List<Integer> lines = new ArrayList<>();
    symbols.forEach(symbol -> names(symbol, lines));
    for (Fault sign : assigned) {
      if (!lines.remove((Integer) sign.line())) {
        faults.add(sign);
      }
    }
  }

  private static void names(Symbol symbol, List<Integer> lines) {
    if (symbol instanceof HCLAttribute) {
      lines.add(line(symbol));
    }
    children(symbol).forEach(child -> names(child, lines));
  }

  private static int line(Symbol symbol) {
    return symbol.getLine() + 1;
  }

  private static int column(Symbol symbol) {
    return symbol.getColumn() + 1;
  }

  private static void put(Section into, Symbol symbol, List<Fault> faults, int depth) {
    if (symbol instanceof HCLBlock block && depth < DEEP_MOST) {
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
      Object plain = value.size() == 1 ? plain(value.get(0)) : null;
      if (plain == null) {
        faults.add(
            new Fault(
                line(symbol),
                column(symbol),
                "'"
                    + symbol.getName()
                    + "' is not a plain value; texts stand in quotes, and nothing is worked out"
                    + " here"));
      }
      into.put(symbol.getName(), new Section.Value(plain, line(symbol), column(symbol)));
    } else {
      faults.add(
          new Fault(line(symbol), column(symbol), "neither a block nor a value with a name"));
    }
  }

  private static List<Symbol> children(Symbol symbol) {
    return symbol.getChildren() == null ? List.of() : symbol.getChildren();
  }

  /** Null if it is none. */
  private static Object plain(Symbol symbol) {
    if (symbol instanceof HCLArray) {
      List<Object> list = new ArrayList<>();
      for (Symbol child : children(symbol)) {
        list.add(plain(child));
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
