package tillerlink.peering.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.Locale;

/** Writes the JSON bodies of responses. */
public final class JsonBody {
  private static final JsonFactory JSON = new JsonFactory();

  /** Writes the fields of a JSON object. */
  @FunctionalInterface
  public interface FieldsWriter {
    /** Writes the fields to a generator whose current context is the object. */
    void write(JsonGenerator json) throws IOException;
  }

  private JsonBody() {}

  /** Returns a body that consists of one object with the given fields. */
  public static byte[] object(FieldsWriter fields) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(bytes)) {
      json.writeStartObject();
      fields.write(json);
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Returns a body that describes a problem.
   *
   * @param problem the machine-readable name of the problem
   * @param explanation a human-readable explanation
   */
  public static byte[] problem(String problem, String explanation) {
    return object(
        json -> {
          json.writeStringField("problem", problem);
          json.writeStringField("words", explanation);
        });
  }

  /** Writes a field whose value is an array of strings. */
  public static void writeStrings(JsonGenerator json, String field, Collection<String> values)
      throws IOException {
    json.writeArrayFieldStart(field);
    for (String value : values) {
      json.writeString(value);
    }
    json.writeEndArray();
  }

  /**
   * Returns the name of a constant in lower case, as it appears in requests and responses. The
   * names of constants that are written in this way are therefore part of the HTTP interface.
   */
  public static String lowerCaseName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}
