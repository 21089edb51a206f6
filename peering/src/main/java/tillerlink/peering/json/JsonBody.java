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

  /** Writes the fields of an object. */
  @FunctionalInterface
  public interface FieldsWriter {
    /** Writes them to the generator, in which the object has begun. */
    void write(JsonGenerator json) throws IOException;
  }

  private JsonBody() {}

  /** A body that is one object. */
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

  /** A problem with its explanation for people. */
  public static byte[] problem(String problem, String words) {
    return object(
        json -> {
          json.writeStringField("problem", problem);
          json.writeStringField("words", words);
        });
  }

  /** Writes a field that holds a list of strings. */
  public static void writeStrings(JsonGenerator json, String field, Collection<String> values)
      throws IOException {
    json.writeArrayFieldStart(field);
    for (String value : values) {
      json.writeString(value);
    }
    json.writeEndArray();
  }

  /**
   * The word that stands for a constant in requests and responses: its name in lower case. The
   * names of constants that are printed so are therefore part of the HTTP interface.
   */
  public static String word(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }
}
