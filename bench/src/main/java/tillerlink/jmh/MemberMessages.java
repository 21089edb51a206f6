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
import tillerlink.messages.members.GossipUpdate;
import tillerlink.messages.members.MemberCodec;
import tillerlink.messages.members.MemberInfo;
import tillerlink.messages.members.MemberMessage;
import tillerlink.messages.members.MemberStatus;
import tillerlink.messages.members.SuspicionLevel;

/**
 * Measures encoding and decoding a probe with six gossip updates in three formats: numbered fields
 * in protobuf's wire format, as gateways use between each other; fields at fixed places in a byte
 * buffer, which later releases could not extend; and JSON by Jackson's streaming API.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class MemberMessages {
  private static final int UPDATES = 6;
  private static final MemberStatus[] STATUSES = MemberStatus.values();

  private MemberMessage.Probe probe;
  private byte[] fields;
  private byte[] places;
  private byte[] json;

  /** Encodes the message in each format, and checks that each decodes to an equal message. */
  @Setup
  public void setUp() throws IOException, MalformedMessageException {
    List<GossipUpdate> updates = new ArrayList<>();
    for (int i = 0; i < UPDATES; i++) {
      updates.add(
          new GossipUpdate(
              "north-" + i,
              i % 2 == 0 ? MemberStatus.ALIVE : MemberStatus.SUSPECTED,
              new MemberInfo(
                  3 + i, 0x9e3779b97f4a7c15L * (i + 1), "10.1.0." + i + ":7400", "north"),
              i % 2 == 0 ? "" : "south-1",
              1200L * i));
    }
    probe =
        new MemberMessage.Probe(
            new MemberInfo(4, 0x51d2c3b4a5968778L, "10.1.0.9:7400", "north"),
            0x1f2e3d4c5b6a7988L,
            "south-2",
            SuspicionLevel.NONE,
            updates);
    fields = writeFields();
    places = writePlaces();
    json = writeJson();
    boolean readBack =
        probe.equals(readFields()) && probe.equals(readPlaces()) && probe.equals(readJson());
    Encodings.check(readBack, fields, places, json);
  }

  @Benchmark
  public byte[] writeFields() {
    return MemberCodec.write(probe);
  }

  @Benchmark
  public MemberMessage readFields() throws MalformedMessageException {
    return MemberCodec.read(fields);
  }

  // ---- at fixed places ----

  /** Encodes the message with each field at a fixed place, without field numbers. */
  @Benchmark
  public byte[] writePlaces() {
    ByteBuffer out = ByteBuffer.allocate(Encodings.BUFFER_SIZE);
    out.put((byte) 1);
    put(out, probe.card());
    out.putLong(probe.number());
    put(out, probe.target());
    out.put((byte) probe.updates().size());
    for (GossipUpdate update : probe.updates()) {
      put(out, update.name());
      out.put((byte) update.status().number());
      put(out, update.card());
      put(out, update.accuser());
      out.putLong(update.age());
    }
    return Encodings.written(out);
  }

  private static void put(ByteBuffer out, MemberInfo info) {
    out.putLong(info.incarnation()).putLong(info.birth());
    put(out, info.address());
    put(out, info.site());
  }

  private static void put(ByteBuffer out, String text) {
    byte[] bytes = Encodings.utf8(text);
    out.put((byte) bytes.length).put(bytes);
  }

  /** Decodes fields at fixed places. */
  @Benchmark
  public MemberMessage readPlaces() {
    ByteBuffer in = ByteBuffer.wrap(places);
    in.get();
    MemberInfo info = readInfo(in);
    long number = in.getLong();
    String target = readText(in);
    int count = in.get();
    List<GossipUpdate> updates = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      updates.add(
          new GossipUpdate(
              readText(in),
              Numbered.of(STATUSES, in.get()),
              readInfo(in),
              readText(in),
              in.getLong()));
    }
    return new MemberMessage.Probe(info, number, target, SuspicionLevel.NONE, updates);
  }

  private static MemberInfo readInfo(ByteBuffer in) {
    return new MemberInfo(in.getLong(), in.getLong(), readText(in), readText(in));
  }

  private static String readText(ByteBuffer in) {
    return Encodings.text(in, in.get() & 0xff);
  }

  // ---- as JSON ----

  /** Encodes the message with Jackson's generator. */
  @Benchmark
  public byte[] writeJson() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(Encodings.BUFFER_SIZE);
    try (JsonGenerator out = Encodings.JSON.createGenerator(bytes)) {
      out.writeStartObject();
      out.writeNumberField("kind", 1);
      writeInfo(out, probe.card());
      out.writeNumberField("number", probe.number());
      out.writeStringField("target", probe.target());
      out.writeArrayFieldStart("rumours");
      for (GossipUpdate update : probe.updates()) {
        out.writeStartObject();
        out.writeStringField("name", update.name());
        out.writeNumberField("standing", update.status().number());
        writeInfo(out, update.card());
        out.writeStringField("by", update.accuser());
        out.writeNumberField("age", update.age());
        out.writeEndObject();
      }
      out.writeEndArray();
      out.writeEndObject();
    }
    return bytes.toByteArray();
  }

  private static void writeInfo(JsonGenerator out, MemberInfo info) throws IOException {
    out.writeObjectFieldStart("card");
    out.writeNumberField("incarnation", info.incarnation());
    out.writeNumberField("birth", info.birth());
    out.writeStringField("address", info.address());
    out.writeStringField("site", info.site());
    out.writeEndObject();
  }

  /** Decodes JSON with Jackson's parser, which accepts the fields in any order. */
  @Benchmark
  public MemberMessage readJson() throws IOException {
    try (JsonParser in = Encodings.JSON.createParser(json)) {
      MemberInfo info = null;
      long number = 0;
      String target = "";
      List<GossipUpdate> updates = new ArrayList<>();
      in.nextToken();
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String name = in.currentName();
        in.nextToken();
        switch (name) {
          case "card" -> info = readInfo(in);
          case "number" -> number = in.getLongValue();
          case "target" -> target = in.getText();
          case "rumours" -> {
            while (in.nextToken() == JsonToken.START_OBJECT) {
              updates.add(readUpdate(in));
            }
          }
          default -> in.skipChildren();
        }
      }
      return new MemberMessage.Probe(info, number, target, SuspicionLevel.NONE, updates);
    }
  }

  private static GossipUpdate readUpdate(JsonParser in) throws IOException {
    String memberName = "";
    int status = 0;
    MemberInfo info = null;
    String accuser = "";
    long age = 0;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      switch (name) {
        case "name" -> memberName = in.getText();
        case "standing" -> status = in.getIntValue();
        case "card" -> info = readInfo(in);
        case "by" -> accuser = in.getText();
        case "age" -> age = in.getLongValue();
        default -> in.skipChildren();
      }
    }
    return new GossipUpdate(memberName, Numbered.of(STATUSES, status), info, accuser, age);
  }

  private static MemberInfo readInfo(JsonParser in) throws IOException {
    long incarnation = 0;
    long birth = 0;
    String address = "";
    String site = "";
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      switch (name) {
        case "incarnation" -> incarnation = in.getLongValue();
        case "birth" -> birth = in.getLongValue();
        case "address" -> address = in.getText();
        case "site" -> site = in.getText();
        default -> in.skipChildren();
      }
    }
    return new MemberInfo(incarnation, birth, address, site);
  }
}
