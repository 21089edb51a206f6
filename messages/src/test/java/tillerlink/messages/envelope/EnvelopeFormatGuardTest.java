package tillerlink.messages.envelope;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import tillerlink.messages.HexLines;

/** Guards the encoding of datagrams: the header, the fields of the envelope and the seal. */
class EnvelopeFormatGuardTest {
  private static final String RESOURCE = "envelopes.hex";

  private static EnvelopeCodec unsealedCodec() {
    return new EnvelopeCodec("fleet-one", null);
  }

  private static EnvelopeCodec sealedCodec() {
    return new EnvelopeCodec(
        "fleet-one", Seal.of("a secret of tests".getBytes(StandardCharsets.UTF_8)));
  }

  static Map<String, Envelope> envelopes() {
    long fleet = Seal.hashOf("fleet-one");
    Map<String, Envelope> all = new LinkedHashMap<>();
    all.put(
        "whole",
        new Envelope(
            1, fleet, "n1", 0x1122334455667788L, 3, 70_000, 70_000, 0, 1, new byte[] {1, -2, 3}));
    all.put("piece", new Envelope(1, fleet, "größe", -9, 255, 12, 10, 2, 4, new byte[] {5, 6}));
    return all;
  }

  static Map<String, byte[]> encoded() {
    Map<String, byte[]> all = new LinkedHashMap<>();
    envelopes()
        .forEach(
            (name, envelope) -> {
              all.put("open-" + name, unsealedCodec().encode(envelope));
              all.put("sealed-" + name, sealedCodec().encode(envelope));
            });
    return all;
  }

  @Test
  void datagramsAreEncodedAsBefore() throws Exception {
    HexLines.assertSameLines(HexLines.read(RESOURCE), encoded());
  }

  @Test
  void datagramsAreDecodedAsBefore() throws Exception {
    Map<String, byte[]> storedDatagrams = HexLines.read(RESOURCE);
    for (Map.Entry<String, Envelope> expected : envelopes().entrySet()) {
      HexLines.assertSameComponents(
          expected.getValue(),
          unsealedCodec().decode(storedDatagrams.get("open-" + expected.getKey())));
      HexLines.assertSameComponents(
          expected.getValue(),
          sealedCodec().decode(storedDatagrams.get("sealed-" + expected.getKey())));
    }
  }
}
