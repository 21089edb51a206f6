package tillerlink.messages.envelope;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import tillerlink.messages.HexLines;

/** Guards the bytes of datagrams: the head, the fields of the envelope and the seal. */
class EnvelopeFormatGuardTest {
  private static final String RESOURCE = "envelopes.hex";

  private static EnvelopeCodec open() {
    return new EnvelopeCodec("fleet-one", null);
  }

  private static EnvelopeCodec sealed() {
    return new EnvelopeCodec(
        "fleet-one", Seal.of("a secret of tests".getBytes(StandardCharsets.UTF_8)));
  }

  static Map<String, Envelope> envelopes() {
    long fleet = Seal.sum("fleet-one");
    Map<String, Envelope> all = new LinkedHashMap<>();
    all.put(
        "whole",
        new Envelope(
            1, fleet, "n1", 0x1122334455667788L, 3, 70_000, 70_000, 0, 1, new byte[] {1, -2, 3}));
    all.put("piece", new Envelope(1, fleet, "größe", -9, 255, 12, 10, 2, 4, new byte[] {5, 6}));
    return all;
  }

  static Map<String, byte[]> written() {
    Map<String, byte[]> all = new LinkedHashMap<>();
    envelopes()
        .forEach(
            (name, envelope) -> {
              all.put("open-" + name, open().encode(envelope));
              all.put("sealed-" + name, sealed().encode(envelope));
            });
    return all;
  }

  @Test
  void datagramsAreWrittenAsBefore() throws Exception {
    HexLines.compare(HexLines.read(RESOURCE), written());
  }

  @Test
  void datagramsAreReadAsBefore() throws Exception {
    Map<String, byte[]> kept = HexLines.read(RESOURCE);
    for (Map.Entry<String, Envelope> each : envelopes().entrySet()) {
      HexLines.same(each.getValue(), open().decode(kept.get("open-" + each.getKey())));
      HexLines.same(each.getValue(), sealed().decode(kept.get("sealed-" + each.getKey())));
    }
  }
}
