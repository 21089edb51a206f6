package tillerlink.jmh;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.Numbered;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.EntryCodec;
import tillerlink.messages.channels.Kind;

/**
 * Measures encoding and decoding the correction of a cue in three formats: numbered fields with a
 * checksum, as gateways use between each other; fields at fixed places with the same checksum; and
 * JSON by Jackson's streaming API, without a checksum.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class ChannelEvents {
  private static final Kind[] KINDS = Kind.values();

  private Entry event;
  private byte[] fields;
  private byte[] places;
  private byte[] json;

  /** Encodes the message in each format, and checks that each decodes to an equal message. */
  @Setup
  public void setUp() throws IOException, MalformedMessageException {
    long incarnation = 0x51d2c3b4a5968778L;
    long stamp = 1_796_173_245_885L << Entry.COUNTER;
    event =
        new Entry(
            "north-1",
            "north",
            incarnation,
            4711,
            stamp,
            "news",
            Kind.CORRECTION,
            "cue-00:14:27.040",
            "The minister said on Tuesday that the bridge stays closed.",
            0,
            "8d0f3f1c-77",
            List.of(new Dot(incarnation, 4600, stamp - 5)),
            List.of(new Dot(17, 120, stamp - 9), new Dot(18, 3301, stamp - 2)));
    fields = writeFields();
    places = writePlaces();
    json = writeJson();
    boolean readBack =
        event.equals(readFields()) && event.equals(readPlaces()) && event.equals(readJson());
    Encodings.check(readBack, fields, places, json);
  }

  @Benchmark
  public byte[] writeFields() {
    return EntryCodec.bytes(event);
  }

  @Benchmark
  public Entry readFields() throws MalformedMessageException {
    return EntryCodec.entry(fields);
  }

  // ---- at fixed places ----

  /** Encodes the message with each field at a fixed place, without field numbers. */
  @Benchmark
  public byte[] writePlaces() {
    ByteBuffer out = ByteBuffer.allocate(Encodings.BUFFER_SIZE);
    put(out, event.gateway());
    put(out, event.site());
    out.putLong(event.incarnation()).putLong(event.sequence()).putLong(event.stamp());
    put(out, event.channel());
    out.put((byte) event.kind().number());
    put(out, event.cue());
    put(out, event.text());
    out.putLong(event.airsAt());
    put(out, event.key());
    put(out, event.over());
    put(out, event.seen());
    byte[] body = Encodings.written(out);
    return ByteBuffer.allocate(Long.BYTES + body.length)
        .putLong(EntryCodec.checksum(body))
        .put(body)
        .array();
  }

  private static void put(ByteBuffer out, String text) {
    byte[] bytes = Encodings.utf8(text);
    out.putShort((short) bytes.length).put(bytes);
  }

  private static void put(ByteBuffer out, List<Dot> dots) {
    out.put((byte) dots.size());
    dots.forEach(
        dot -> out.putLong(dot.incarnation()).putLong(dot.sequence()).putLong(dot.stamp()));
  }

  /** Decodes fields at fixed places after verifying their checksum. */
  @Benchmark
  public Entry readPlaces() {
    ByteBuffer in = ByteBuffer.wrap(places);
    long checksum = in.getLong();
    byte[] body = new byte[in.remaining()];
    in.slice().get(body);
    if (checksum != EntryCodec.checksum(body)) {
      throw new IllegalStateException("garbled");
    }
    return new Entry(
        readText(in).intern(),
        readText(in).intern(),
        in.getLong(),
        in.getLong(),
        in.getLong(),
        readText(in).intern(),
        Numbered.of(KINDS, in.get()),
        readText(in),
        readText(in),
        in.getLong(),
        readText(in),
        readDots(in),
        readDots(in));
  }

  private static String readText(ByteBuffer in) {
    return Encodings.text(in, in.getShort());
  }

  private static List<Dot> readDots(ByteBuffer in) {
    int count = in.get();
    List<Dot> dots = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      dots.add(new Dot(in.getLong(), in.getLong(), in.getLong()));
    }
    return dots;
  }

  // ---- as JSON ----

  /** Encodes the message with Jackson's generator. */
  @Benchmark
  public byte[] writeJson() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(Encodings.BUFFER_SIZE);
    try (JsonGenerator out = Encodings.JSON.createGenerator(bytes)) {
      out.writeStartObject();
      out.writeStringField("gateway", event.gateway());
      out.writeStringField("site", event.site());
      out.writeNumberField("incarnation", event.incarnation());
      out.writeNumberField("sequence", event.sequence());
      out.writeNumberField("stamp", event.stamp());
      out.writeStringField("channel", event.channel());
      out.writeNumberField("kind", event.kind().number());
      out.writeStringField("cue", event.cue());
      out.writeStringField("text", event.text());
      out.writeStringField("key", event.key());
      writeDots(out, "over", event.over());
      writeDots(out, "seen", event.seen());
      out.writeEndObject();
    }
    return bytes.toByteArray();
  }

  private static void writeDots(JsonGenerator out, String name, List<Dot> dots) throws IOException {
    out.writeArrayFieldStart(name);
    for (Dot dot : dots) {
      out.writeStartArray();
      out.writeNumber(dot.incarnation());
      out.writeNumber(dot.sequence());
      out.writeNumber(dot.stamp());
      out.writeEndArray();
    }
    out.writeEndArray();
  }

  /** Decodes JSON with Jackson's parser, which accepts the fields in any order. */
  @Benchmark
  public Entry readJson() throws IOException {
    ReadEntry read = new ReadEntry();
    try (JsonParser in = Encodings.JSON.createParser(json)) {
      in.nextToken();
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String name = in.currentName();
        switch (in.nextToken()) {
          case VALUE_STRING -> read.text(name, in);
          case VALUE_NUMBER_INT -> read.number(name, in);
          case START_ARRAY -> read.dots(name, in);
          default -> in.skipChildren();
        }
      }
    }
    return read.entry();
  }

  /** The fields of an entry that were read so far, in any order. */
  private static final class ReadEntry {
    private String gateway = "";
    private String site = "";
    private String channel = "";
    private String cue = "";
    private String text = "";
    private String key = "";
    private long incarnation;
    private long sequence;
    private long stamp;
    private int kind;
    private List<Dot> over = List.of();
    private List<Dot> seen = List.of();

    void text(String name, JsonParser in) throws IOException {
      switch (name) {
        case "gateway" -> gateway = in.getText().intern();
        case "site" -> site = in.getText().intern();
        case "channel" -> channel = in.getText().intern();
        case "cue" -> cue = in.getText();
        case "text" -> text = in.getText();
        case "key" -> key = in.getText();
        default -> in.skipChildren();
      }
    }

    void number(String name, JsonParser in) throws IOException {
      switch (name) {
        case "incarnation" -> incarnation = in.getLongValue();
        case "sequence" -> sequence = in.getLongValue();
        case "stamp" -> stamp = in.getLongValue();
        case "kind" -> kind = in.getIntValue();
        default -> in.skipChildren();
      }
    }

    void dots(String name, JsonParser in) throws IOException {
      switch (name) {
        case "over" -> over = readDots(in);
        case "seen" -> seen = readDots(in);
        default -> in.skipChildren();
      }
    }

    Entry entry() {
      return new Entry(
          gateway,
          site,
          incarnation,
          sequence,
          stamp,
          channel,
          Numbered.of(KINDS, kind),
          cue,
          text,
          0,
          key,
          over,
          seen);
    }
  }

  private static List<Dot> readDots(JsonParser in) throws IOException {
    List<Dot> dots = new ArrayList<>();
    while (in.nextToken() == JsonToken.START_ARRAY) {
      dots.add(new Dot(in.nextLongValue(0), in.nextLongValue(0), in.nextLongValue(0)));
      in.nextToken();
    }
    return dots;
  }
}
