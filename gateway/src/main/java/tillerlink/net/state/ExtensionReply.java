package tillerlink.net.state;

import java.util.function.Consumer;
import tillerlink.net.wire.HttpResponse;

/**
 * A reply to a request that the extension answers. It passes on the first answer and ignores any
 * further ones. Until then the request counts as retained, because the extension holds it. Confined
 * to the event-loop thread.
 */
final class ExtensionReply implements GatewayExtension.Reply {
  private final int requestBytes;
  private final RetainedBytes retained;
  private final Consumer<HttpResponse> receiver;
  private boolean ended;

  /**
   * Creates a reply.
   *
   * @param requestBytes the memory that is reserved for the request
   * @param receiver receives the answer
   */
  ExtensionReply(int requestBytes, RetainedBytes retained, Consumer<HttpResponse> receiver) {
    this.requestBytes = requestBytes;
    this.retained = retained;
    this.receiver = receiver;
  }

  @Override
  public void answer(HttpResponse answer) {
    if (!ended) {
      drop();
      receiver.accept(answer);
    }
  }

  /** Ignores all answers from now on. */
  void drop() {
    if (!ended) {
      ended = true;
      retained.add(-requestBytes);
    }
  }
}
