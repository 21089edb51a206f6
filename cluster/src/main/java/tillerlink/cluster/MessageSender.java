package tillerlink.cluster;

/**
 * Sends messages to other gateways, without any delivery guarantee: a message may be lost, delayed,
 * duplicated or reordered, and the sender is not notified. A component that needs delivery resends
 * a message until it is acknowledged. Called on the gateway's event loop; never blocks.
 */
@FunctionalInterface
public interface MessageSender {
  /** Maximum length of a message, in bytes; the caller must split longer content. */
  int MAX_MESSAGE_BYTES = 12_000;

  /** Maximum length, in bytes, of a message that fits a single datagram on every common link. */
  int SINGLE_DATAGRAM_BYTES = 1_100;

  /**
   * Sends a message. It is dropped if the receiver is unknown.
   *
   * @param to the name of the receiving member
   * @param body the message, at most {@link #MAX_MESSAGE_BYTES} long
   */
  void send(String to, byte[] body);
}
