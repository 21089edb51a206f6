package tillerlink.messages;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads committed lines of a name and hex digits, and compares what is written now with them. */
public final class HexLines {
  private HexLines() {}

  /** Reads a resource in the guards folder: each line is a name, a space and hex digits. */
  public static Map<String, byte[]> read(String resource) throws IOException {
    Map<String, byte[]> lines = new LinkedHashMap<>();
    try (InputStream in = HexLines.class.getResourceAsStream("/guards/" + resource)) {
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      text.lines()
          .filter(line -> !line.startsWith("#"))
          .forEach(
              line -> {
                int space = line.indexOf(' ');
                byte[] value = HexFormat.of().parseHex(line.substring(space + 1));
                assertEquals(null, lines.put(line.substring(0, space), value), line);
              });
    }
    return lines;
  }

  /** Compares names, their order and their bytes. */
  public static void compare(Map<String, byte[]> expected, Map<String, byte[]> written) {
    assertEquals(text(expected), text(written));
  }

  /** The lines as a resource has them, without comments. */
  public static String text(Map<String, byte[]> values) {
    StringBuilder text = new StringBuilder();
    values.forEach(
        (name, value) ->
            text.append(name).append(' ').append(HexFormat.of().formatHex(value)).append('\n'));
    return text.toString();
  }

  /** Compares two records field by field, as arrays within them have no equals of their own. */
  public static void same(Record expected, Record read) throws ReflectiveOperationException {
    assertEquals(expected.getClass(), read.getClass());
    for (RecordComponent component : expected.getClass().getRecordComponents()) {
      Object one = component.getAccessor().invoke(expected);
      Object other = component.getAccessor().invoke(read);
      if (one instanceof byte[] bytes) {
        assertArrayEquals(bytes, (byte[]) other, component.getName());
      } else {
        assertEquals(one, other, component.getName());
      }
    }
  }
}
