package tillerlink.peering.channels;

import java.util.ArrayDeque;
import tillerlink.channels.Channels;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.cluster.ClusterComponent;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpResponse;
import tillerlink.peering.component.HostedComponent;
import tillerlink.peering.json.MalformedRequestException;

/**
 * The HTTP interface to the logs of channels. It handles {@code POST /v1/channels/NAME}, {@code GET
 * /v1/channels/NAME/log/FROM}, {@code GET /v1/channels/NAME/cues} and {@code GET /v1/channels}.
 */
public final class ChannelsHttpHandler implements HostedComponent {
  private static final String PATH = "/v1/channels";
  private static final String KEY_HEADER = "x-operation-key";
  private static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,64}";
  private static final String INDEX_PATTERN = "[0-9]{1,15}";
  private static final int MAX_PAGE_BYTES = 200_000;

  /**
   * The time in tenths of a millisecond after which an append that is not durable yet is answered
   * with an unknown outcome. A client can safely repeat it with the same operation key, because it
   * is then the same event.
   */
  private static final long APPEND_TIMEOUT = 100_000;

  /** An append that is not durable yet. It is answered at most once. */
  private static final class PendingAppend {
    private final long deadline;
    private final GatewayExtension.Reply reply;
    private boolean answered;

    PendingAppend(long deadline, GatewayExtension.Reply reply) {
      this.deadline = deadline;
      this.reply = reply;
    }

    void answer(HttpResponse response) {
      if (!answered) {
        answered = true;
        reply.answer(response);
      }
    }
  }

  private final Channels channels;

  /** The unanswered appends in the order of their deadlines. */
  private final ArrayDeque<PendingAppend> pendingAppends = new ArrayDeque<>();

  ChannelsHttpHandler(Channels channels) {
    this.channels = channels;
  }

  @Override
  public int number() {
    return HostedChannels.NUMBER;
  }

  @Override
  public ClusterComponent component() {
    return channels;
  }

  @Override
  public boolean handlesPath(String path) {
    return path.equals(PATH) || path.startsWith(PATH + "/");
  }

  @Override
  public void onRequest(long now, long wall, HttpRequest request, GatewayExtension.Reply reply) {
    String[] segments = request.path().split("/", -1);
    if (segments.length == 3) {
      answerGet(request, reply, ChannelResponses.state(channels));
    } else if (!segments[3].matches(NAME_PATTERN)) {
      reply.answer(HttpResponse.unknown());
    } else if (segments.length == 4) {
      append(now, wall, request, segments[3], reply);
    } else if (segments.length == 5 && segments[4].equals("cues")) {
      answerGet(request, reply, ChannelResponses.cues(channels, segments[3]));
    } else if (segments.length == 6 && isLogIndex(segments[4], segments[5])) {
      long from = Long.parseLong(segments[5]);
      answerGet(
          request, reply, ChannelResponses.page(channels.read(segments[3], from, MAX_PAGE_BYTES)));
    } else {
      reply.answer(HttpResponse.unknown());
    }
  }

  private static boolean isLogIndex(String resource, String index) {
    return resource.equals("log") && index.matches(INDEX_PATTERN);
  }

  private static void answerGet(
      HttpRequest request, GatewayExtension.Reply reply, HttpResponse response) {
    reply.answer(
        request.method() == HttpRequest.Method.GET
            ? response
            : HttpResponse.problem(405, "Method", 0));
  }

  private void append(
      long now, long wall, HttpRequest request, String channel, GatewayExtension.Reply reply) {
    if (request.method() != HttpRequest.Method.POST) {
      reply.answer(HttpResponse.problem(405, "Method", 0));
      return;
    }
    AppendRequest event;
    try {
      event =
          AppendRequestParser.parse(request.body(), request.fields().getOrDefault(KEY_HEADER, ""));
    } catch (MalformedRequestException e) {
      reply.answer(ChannelResponses.malformed(e.getMessage()));
      return;
    }
    PendingAppend pending = new PendingAppend(now + APPEND_TIMEOUT, reply);
    channels.append(
        now, wall, channel, event, result -> pending.answer(ChannelResponses.appended(result)));
    if (!pending.answered) {
      pendingAppends.add(pending);
    }
  }

  @Override
  public void onShutdownDeadline(long now, long wall) {
    answerOverdueAppends(Long.MAX_VALUE);
  }

  @Override
  public void onIterationEnd(long now, long wall) {
    answerOverdueAppends(now);
  }

  private void answerOverdueAppends(long dueBy) {
    while (!pendingAppends.isEmpty()
        && (pendingAppends.peek().answered || pendingAppends.peek().deadline <= dueBy)) {
      pendingAppends.poll().answer(ChannelResponses.appendOutcomeUnknown());
    }
  }
}
