package tillerlink.messages.envelope;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Splits the messages that one process sends into datagrams. Instances are not thread-safe. */
public final class Outbox {
  private final EnvelopeCodec codec;
  private final String name;
  private final long incarnation;
  private long counter;

  /**
   * Creates the outbox of a process.
   *
   * @param codec the codec of the gateway's fleet
   * @param name the gateway's name
   * @param incarnation a number other than 0 that each process draws at its start
   */
  public Outbox(EnvelopeCodec codec, String name, long incarnation) {
    this.codec = codec;
    this.name = name;
    this.incarnation = incarnation;
  }

  /**
   * Encodes a message as one or more datagrams.
   *
   * @param component the number of the component that the message is addressed to, 1 to 255
   * @param message the bytes of the message
   * @return the datagrams; empty if the message needs more than {@value Envelope#MAX_FRAGMENTS}
   *     fragments and so can't be sent
   */
  public List<byte[]> datagrams(int component, byte[] message) {
    int fragmentCount =
        Math.max(1, (message.length + Envelope.MAX_BODY_BYTES - 1) / Envelope.MAX_BODY_BYTES);
    if (fragmentCount > Envelope.MAX_FRAGMENTS) {
      return List.of();
    }
    List<byte[]> datagrams = new ArrayList<>(fragmentCount);
    long firstCounter = counter + 1;
    for (int fragmentIndex = 0; fragmentIndex < fragmentCount; fragmentIndex++) {
      counter++;
      byte[] body = fragmentCount == 1 ? message : fragment(message, fragmentIndex);
      datagrams.add(
          codec.encode(
              new Envelope(
                  Envelope.VERSION,
                  codec.fleet(),
                  name,
                  incarnation,
                  component,
                  counter,
                  firstCounter,
                  fragmentIndex,
                  fragmentCount,
                  body)));
    }
    return datagrams;
  }

  private static byte[] fragment(byte[] message, int fragmentIndex) {
    int start = fragmentIndex * Envelope.MAX_BODY_BYTES;
    return Arrays.copyOfRange(
        message, start, Math.min(message.length, start + Envelope.MAX_BODY_BYTES));
  }
}
