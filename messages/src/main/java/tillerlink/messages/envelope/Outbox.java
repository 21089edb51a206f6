package tillerlink.messages.envelope;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Makes the datagrams of the messages that one process sends. Used by one thread. */
public final class Outbox {
  private final EnvelopeCodec codec;
  private final String name;
  private final long incarnation;
  private long counter;

  /**
   * Makes the outbox of a process.
   *
   * @param name the gateway's name
   * @param incarnation drawn anew by each process; not 0
   */
  public Outbox(EnvelopeCodec codec, String name, long incarnation) {
    this.codec = codec;
    this.name = name;
    this.incarnation = incarnation;
  }

  /**
   * Makes the datagrams of a message.
   *
   * @param part the component that the message is for; 1 to 255
   * @return the datagrams; none if the message is too long to be sent at all
   */
  public List<byte[]> datagrams(int part, byte[] message) {
    int pieces =
        Math.max(1, (message.length + Envelope.MAX_BODY_BYTES - 1) / Envelope.MAX_BODY_BYTES);
    if (pieces > Envelope.MAX_PIECES) {
      return List.of();
    }
    List<byte[]> datagrams = new ArrayList<>(pieces);
    long first = counter + 1;
    for (int piece = 0; piece < pieces; piece++) {
      counter++;
      byte[] body = pieces == 1 ? message : fragment(message, piece);
      datagrams.add(
          codec.encode(
              new Envelope(
                  Envelope.VERSION,
                  codec.fleet(),
                  name,
                  incarnation,
                  part,
                  counter,
                  first,
                  piece,
                  pieces,
                  body)));
    }
    return datagrams;
  }

  private static byte[] fragment(byte[] message, int piece) {
    int start = piece * Envelope.MAX_BODY_BYTES;
    return Arrays.copyOfRange(
        message, start, Math.min(message.length, start + Envelope.MAX_BODY_BYTES));
  }
}
