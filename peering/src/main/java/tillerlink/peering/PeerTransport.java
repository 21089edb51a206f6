package tillerlink.peering;

import java.io.Closeable;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import tillerlink.cluster.Invariant;
import tillerlink.cluster.MessageSender;
import tillerlink.messages.envelope.Envelope;
import tillerlink.messages.envelope.EnvelopeCodec;
import tillerlink.messages.envelope.Inbox;
import tillerlink.messages.envelope.Outbox;
import tillerlink.messages.envelope.Refusal;
import tillerlink.peering.component.HostedComponent;
import tillerlink.peering.io.Datagrams;

/**
 * Sends the components' messages to other gateways as sealed datagrams, and passes each received
 * message to the component it is addressed to. Used by the event loop's thread.
 */
final class PeerTransport implements Closeable {
  private final ComponentLoop loop;
  private final Outbox outbox;
  private final Inbox inbox;

  /** Null until the socket is open; messages sent before then are lost. */
  private Datagrams datagrams;

  /**
   * Creates a transport without a socket; see {@link #listen}.
   *
   * @param self the name of this gateway
   * @param processId distinguishes this process from earlier ones with the same name; never 0
   * @param log receives log lines about refused datagrams, at a bounded rate
   */
  PeerTransport(
      EnvelopeCodec codec, String self, long processId, ComponentLoop loop, Inbox.Lines log) {
    this.loop = loop;
    outbox = new Outbox(codec, self, processId);
    inbox = new Inbox(codec, self, processId, MessageSender.MAX_MESSAGE_BYTES, log);
  }

  /**
   * Opens the socket.
   *
   * @param address the local address as host:port, the host as an IP address
   * @param eventLoop runs tasks on the event loop's thread
   * @throws IOException if the address is malformed or can't be bound; the message is shown to the
   *     operator
   */
  void listen(String address, Consumer<Runnable> eventLoop) throws IOException {
    datagrams =
        new Datagrams(
            address,
            Envelope.MAX_DATAGRAM_BYTES,
            eventLoop,
            (from, datagram) -> loop.run(() -> receive(from, datagram)));
  }

  /** Returns a live view of the number of refused datagrams by reason. */
  Map<Refusal, Long> refused() {
    return inbox.refused();
  }

  /**
   * Sends a message without waiting; it may be lost.
   *
   * @param address the destination as host:port
   * @param component the number of the component the message is addressed to
   */
  void send(String address, int component, byte[] body) {
    Invariant.holds(
        body.length <= MessageSender.MAX_MESSAGE_BYTES,
        () ->
            "message of "
                + body.length
                + " bytes to "
                + address
                + " exceeds "
                + MessageSender.MAX_MESSAGE_BYTES);
    if (datagrams == null || body.length > MessageSender.MAX_MESSAGE_BYTES) {
      return;
    }
    for (byte[] datagram : outbox.datagrams(component, body)) {
      datagrams.send(address, datagram);
    }
  }

  private void receive(String from, byte[] datagram) {
    Inbox.Message message = inbox.take(loop.now(), from, datagram);
    if (message == null) {
      return;
    }
    Optional<HostedComponent> component = loop.findByNumber(message.part());
    if (component.isPresent()) {
      component
          .get()
          .component()
          .onMessage(loop.now(), ComponentLoop.wallTime(), message.sender(), message.body());
    } else {
      inbox.refuse(loop.now(), from, Refusal.NO_PART);
    }
  }

  @Override
  public void close() {
    datagrams.close();
  }
}
