package tillerlink.cluster;

/**
 * Sends a message to another gateway. It may be lost, late, repeated or overtaken by later ones,
 * and nobody says so; whoever needs it to arrive sends it again until the answer is there.
 */
@FunctionalInterface
public interface MessageSender {
  /** No message is longer; what is more goes in several. */
  int MAX_MESSAGE_BYTES = 12_000;

  /** One of this size goes in a single datagram, which every link of today carries. */
  int SINGLE_DATAGRAM_BYTES = 1_100;

  /** Messages to a name that is not known are dropped. */
  void send(String to, byte[] body);
}
