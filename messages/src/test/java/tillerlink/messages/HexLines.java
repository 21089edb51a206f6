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

/** Reads resources that list encoded values in hex, and compares encoded and decoded values. */
public final class HexLines {
  private HexLines() {}

  /**
   * Returns the values of a resource in the guards folder by name. Each line is a name, a space and
   * hex digits; lines that start with # are comments.
   */
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

  /** Asserts that both maps have the same names in the same order, and the same bytes. */
  public static void assertSameLines(Map<String, byte[]> expected, Map<String, byte[]> actual) {
    assertEquals(text(expected), text(actual));
  }

  /** Returns the values as lines in the format of a resource, without comments. */
  public static String text(Map<String, byte[]> values) {
    StringBuilder text = new StringBuilder();
    values.forEach(
        (name, value) ->
            text.append(name).append(' ').append(HexFormat.of().formatHex(value)).append('\n'));
    return text.toString();
  }

  /**
   * Asserts that two records are equal, component by component, because the equality of records
   * compares byte arrays by reference.
   */
  public static void assertSameComponents(Record expected, Record actual)
      throws ReflectiveOperationException {
    assertEquals(expected.getClass(), actual.getClass());
    for (RecordComponent component : expected.getClass().getRecordComponents()) {
      Object expectedValue = component.getAccessor().invoke(expected);
      Object actualValue = component.getAccessor().invoke(actual);
      if (expectedValue instanceof byte[] bytes) {
        assertArrayEquals(bytes, (byte[]) actualValue, component.getName());
      } else {
        assertEquals(expectedValue, actualValue, component.getName());
      }
    }
  }
}
