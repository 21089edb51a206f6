package tillerlink.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import tillerlink.audit.Auditor;
import tillerlink.emulator.EmulatedCluster;
import tillerlink.fakes.HttpResponseParser;
import tillerlink.fakes.Results;
import tillerlink.workload.Arrival;
import tillerlink.workload.RequestClassSpec;

/**
 * The clients of a replay: each request is sent when it arrives, whatever became of those before
 * it, to a gateway that is up, and its result is fetched as the protocol says.
 */
public final class Front {
  private static final int CALLS_MOST = 3;

  /** Each time limit is 50 ms longer on sockets. */
  private static final long SLACK = 500;

  private static final long LEAVING_TAKES = 10;
  private static final long IDLE_MOST = 4 * Figures.SECOND;

  /** One request and its client. */
  private static final class Request {
    private final Arrival arrival;
    private final RequestClassSpec requestClass;
    private final String id;
    private final int gateway;
    private final long askedAt;
    private String path;
    private int calls;
    private boolean over;

    Request(Arrival arrival, RequestClassSpec requestClass, String id, int gateway, long askedAt) {
      this.arrival = arrival;
      this.requestClass = requestClass;
      this.id = id;
      this.gateway = gateway;
      this.askedAt = askedAt;
    }
  }

  private final EmulatedCluster cluster;
  private final Lines lines;
  private final Figures figures;
  private final Wording wording;
  private long start;
  private final Set<Request> open = new LinkedHashSet<>();
  private final List<ArrayDeque<Conversation>> idle = new ArrayList<>();
  private final List<Set<Conversation>> all = new ArrayList<>();

  public Front(EmulatedCluster cluster, Lines lines, Figures figures, Wording wording) {
    this.cluster = cluster;
    this.lines = lines;
    this.figures = figures;
    this.wording = wording;
    start = cluster.now();
    for (int i = 0; i < cluster.fleet.gateways(); i++) {
      idle.add(new ArrayDeque<>());
      all.add(new LinkedHashSet<>());
    }
    cluster.onKill(this::killed);
  }

  /** The run begins then, not now. */
  public void startAt(long at) {
    start = at;
  }

  /** How many wait for their answers. */
  public int open() {
    return open.size();
  }

  public void arrive(Arrival arrival) {
    RequestClassSpec requestClass = cluster.requestClasses.get(arrival.requestClass());
    figures.arrived(cluster.now() - start, arrival.requestClass());
    int gateway = gatewayFor(arrival);
    Request request =
        new Request(arrival, requestClass, wording.id(arrival), gateway, cluster.now());
    if (gateway < 0) {
      finish(request, End.KILLED);
      return;
    }
    open.add(request);
    cluster.expect(
        request.id,
        new EmulatedCluster.RequestCost(arrival.work(), requestClass.width(), arrival.memory()));
    cluster.auditor.taken(
        cluster.now(),
        gateway,
        request.id,
        arrival.requestClass(),
        null,
        cluster.now() + requestClass.deadline());
    say(request, wording.request(arrival, requestClass, request.id));
    cluster.timeline.at(cluster.now() + requestClass.deadline() + SLACK, () -> leave(request));
  }

  /** Drawn by the request alone; a front passes over gateways that are down. */
  private int gatewayFor(Arrival arrival) {
    int count = cluster.fleet.gateways();
    int first = (int) Long.remainderUnsigned(arrival.key() * 0x9e3779b97f4a7c15L >>> 16, count);
    for (int i = 0; i < count; i++) {
      if (lines.isUp((first + i) % count)) {
        return (first + i) % count;
      }
    }
    return -1;
  }

  private void say(Request request, byte[] bytes) {
    ArrayDeque<Conversation> free = idle.get(request.gateway);
    Conversation with = free.pollLast();
    while (with != null && with.staleAt(cluster.now())) {
      with.hangUp();
      with = free.pollLast();
    }
    with = with == null ? new Conversation(request.gateway) : with;
    with.request = request;
    with.say(bytes);
  }

  private void heard(Conversation on, Request request, HttpResponseParser.Response answer) {
    String more = answer.status() == 200 ? answer.continuationPath() : null;
    if (more != null) {
      request.path = more;
      switch (request.over ? 0 : cluster.faults().choose("client", 3)) {
        case 1 -> {
          on.hangUp();
          say(request, Wording.fetch(more));
        }
        case 2 -> {
          on.hangUp();
          new Conversation(request.gateway).say(Wording.leave(more));
          // Until the gateway has heard of it, it does right to go on.
          cluster.timeline.at(
              cluster.now() + LEAVING_TAKES,
              () -> {
                cluster.auditor.left(cluster.now(), request.id, false);
                finish(request, End.CLIENT_GONE);
              });
        }
        default -> on.say(Wording.fetch(more));
      }
      return;
    }
    on.free();
    if (request.over) {
      return;
    }
    long took = cluster.now() - request.askedAt;
    if (answer.status() == 200) {
      if (!answer.body().equals(Results.whole(request.id))) {
        cluster.auditor.wrongResult(cluster.now(), request.id);
      }
      answered(
          request,
          Auditor.Answer.FULFILLED,
          took <= request.requestClass.latencyObjective() ? End.IN_TIME : End.LATE);
    } else if (answer.status() == 503 || answer.status() == 429) {
      answered(request, Auditor.Answer.TURNED_BACK, End.TURNED_BACK);
    } else {
      answered(request, Auditor.Answer.BROKEN_OFF, End.BROKEN_OFF);
    }
  }

  private void answered(Request request, Auditor.Answer answer, End end) {
    cluster.auditor.answered(cluster.now(), request.id, answer);
    finish(request, end);
  }

  private void finish(Request request, End end) {
    request.over = true;
    open.remove(request);
    cluster.forget(request.id);
    figures.ended(
        request.askedAt - start,
        request.arrival.requestClass(),
        end,
        cluster.now() - request.askedAt);
  }

  /**
   * The connection ended with no answer: the path is called again on another, three times at most.
   */
  private void broken(Request request) {
    if (request == null || request.over) {
      return;
    }
    if (request.path != null && request.calls++ < CALLS_MOST) {
      say(request, Wording.fetch(request.path));
    } else if (request.path == null && request.calls++ == 0) {
      // It crossed the gateway's close of an idle connection.
      say(request, wording.request(request.arrival, request.requestClass, request.id));
    } else {
      cluster.auditor.left(cluster.now(), request.id, true);
      finish(request, End.CLIENT_GONE);
    }
  }

  private void leave(Request request) {
    if (request.over) {
      return;
    }
    cluster.auditor.left(cluster.now(), request.id, true);
    finish(request, End.CLIENT_GONE);
    if (request.path != null) {
      Conversation last = new Conversation(request.gateway);
      last.say(Wording.leave(request.path));
    }
  }

  private void killed(int gateway) {
    List.copyOf(all.get(gateway)).forEach(Conversation::hangUp);
    for (Request request : List.copyOf(open)) {
      if (request.gateway == gateway) {
        finish(request, End.KILLED);
      }
    }
  }

  /** A client's connection to a gateway. */
  private final class Conversation implements Lines.Client {
    private final int gateway;
    private final HttpResponseParser reader = new HttpResponseParser();
    private final Lines.Line line;
    private Request request;
    private boolean over;
    private long freeSince;

    Conversation(int gateway) {
      this.gateway = gateway;
      all.get(gateway).add(this);
      line = lines.open(gateway, this);
    }

    void say(byte[] bytes) {
      line.say(bytes);
    }

    @Override
    public void heard(byte[] bytes) {
      if (over) {
        return;
      }
      try {
        reader.feed(bytes);
        for (HttpResponseParser.Response answer = reader.next();
            answer != null && !over;
            answer = reader.next()) {
          Request of = request;
          if (of == null) {
            hangUp();
          } else {
            Front.this.heard(this, of, answer);
          }
        }
      } catch (IllegalArgumentException e) {
        hangUp();
        broken(request);
      }
    }

    void free() {
      request = null;
      freeSince = cluster.now();
      idle.get(gateway).addLast(this);
    }

    boolean staleAt(long now) {
      return over || now >= freeSince + IDLE_MOST;
    }

    /** The client closes. */
    void hangUp() {
      if (!over) {
        forget();
        line.hangUp();
      }
    }

    private void forget() {
      over = true;
      all.get(gateway).remove(this);
      idle.get(gateway).remove(this);
    }

    @Override
    public void ended() {
      if (!over) {
        forget();
        broken(request);
      }
    }
  }
}
