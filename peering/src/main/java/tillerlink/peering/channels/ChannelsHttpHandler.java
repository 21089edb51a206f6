package tillerlink.peering.channels;

import java.io.IOException;
import java.util.ArrayDeque;
import tillerlink.channels.Channels;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.channels.entry.AppendResult;
import tillerlink.cluster.ClusterComponent;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpResponse;
import tillerlink.peering.component.HostedComponent;

/**
 * The logs of channels, for clients: {@code POST /v1/channels/NAME}, {@code GET
 * /v1/channels/NAME/log/FROM}, {@code GET /v1/channels/NAME/cues} and {@code GET /v1/channels}.
 */
public final class ChannelsHttpHandler implements HostedComponent {
  private static final String PATH = "/v1/channels";
  private static final String KEY = "x-operation-key";
  private static final String NAME_FORM = "[A-Za-z0-9._-]{1,64}";
  private static final int PAGE_BYTES = 200_000;

  /**
   * An append that is not kept by then is told to be unknown; asked again under its key it is the
   * same one.
   */
  private static final long KEEP_WITHIN = 100_000;

  private static final int PER_MS = 10;

  /** An append that is being kept. */
  private static final class Owed {
    final long until;
    final GatewayExtension.Reply reply;
    boolean done;

    Owed(long until, GatewayExtension.Reply reply) {
      this.until = until;
      this.reply = reply;
    }

    void answer(HttpResponse answer) {
      if (!done) {
        done = true;
        reply.answer(answer);
      }
    }
  }

  private final Channels channels;
  private final ArrayDeque<Owed> owed = new ArrayDeque<>();

  ChannelsHttpHandler(Channels channels) {
    this.channels = channels;
  }

  @Override
  public int number() {
    return HostedChannels.NUMBER;
  }

  @Override
  public ClusterComponent machine() {
    return channels;
  }

  @Override
  public boolean takes(String path) {
    return path.equals(PATH) || path.startsWith(PATH + "/");
  }

  @Override
  public void called(long now, long wall, HttpRequest call, GatewayExtension.Reply reply) {
    String[] words = call.path().split("/", -1);
    boolean named = words.length > 3 && words[3].matches(NAME_FORM);
    if (words.length == 3) {
      read(call, reply, ChannelsJson.state(channels));
    } else if (named && words.length == 4) {
      append(now, wall, call, words[3], reply);
    } else if (named && words.length == 5 && words[4].equals("cues")) {
      read(call, reply, ChannelsJson.cues(channels, words[3]));
    } else if (named
        && words.length == 6
        && words[4].equals("log")
        && words[5].matches("[0-9]{1,15}")) {
      read(
          call,
          reply,
          ChannelsJson.page(channels.read(words[3], Long.parseLong(words[5]), PAGE_BYTES)));
    } else {
      reply.answer(HttpResponse.unknown());
    }
  }

  private static void read(HttpRequest call, GatewayExtension.Reply reply, byte[] body) {
    reply.answer(
        call.method() == HttpRequest.Method.GET
            ? new HttpResponse(200, body, 0, false)
            : HttpResponse.problem(405, "Method", 0));
  }

  private void append(
      long now, long wall, HttpRequest call, String channel, GatewayExtension.Reply reply) {
    if (call.method() != HttpRequest.Method.POST) {
      reply.answer(HttpResponse.problem(405, "Method", 0));
      return;
    }
    AppendRequest draft;
    try {
      draft = ChannelsJson.draft(call.body(), call.fields().getOrDefault(KEY, ""));
    } catch (IOException e) {
      reply.answer(
          new HttpResponse(400, ChannelsJson.problem("Malformed", e.getMessage()), 0, false));
      return;
    }
    Owed one = new Owed(now + KEEP_WITHIN, reply);
    channels.append(now, wall, channel, draft, appended -> one.answer(answer(appended)));
    if (!one.done) {
      owed.add(one);
    }
  }

  private static HttpResponse answer(AppendResult appended) {
    if (appended instanceof AppendResult.Refused it) {
      return it.retryAfter() > 0
          ? new HttpResponse(
              503,
              ChannelsJson.problem("Refused", it.why()),
              Math.max(1, it.retryAfter() / PER_MS),
              false)
          : new HttpResponse(409, ChannelsJson.problem("Refused", it.why()), 0, false);
    }
    return new HttpResponse(200, ChannelsJson.taken((AppendResult.Taken) appended), 0, false);
  }

  @Override
  public void timeUp(long now, long wall) {
    answerUntil(Long.MAX_VALUE);
  }

  @Override
  public void settled(long now, long wall) {
    answerUntil(now);
  }

  private void answerUntil(long due) {
    while (!owed.isEmpty() && (owed.peek().done || owed.peek().until <= due)) {
      owed.poll()
          .answer(
              new HttpResponse(
                  503,
                  ChannelsJson.problem("Unknown", "it is not kept yet; ask again with its key"),
                  1000,
                  false));
    }
  }
}
