package review2;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client that follows the protocol page: POST, then GET of the path under `continue`. */
public final class Client {
  /** How a request ended for its client. */
  public enum End {
    SERVED,
    REFUSED,
    FAILED,
    LOST,
    /** Its connection did not come up, so nothing was sent. */
    NOT_SENT
  }

  private static final Pattern CONTINUE = Pattern.compile("\"continue\":\"([^\"]*)\"");
  private static final Pattern PROBLEM = Pattern.compile("\"problem\":\"([^\"]*)\"");
  private static final AtomicLong IDS = new AtomicLong(System.nanoTime() << 12);
  /** How much later than the request's time an answer is still no loss. */
  private static final int SLACK_MS = 500;

  private Client() {}

  /** Returns an id that was not used before. */
  public static String newId() {
    return String.format("%016x", IDS.incrementAndGet());
  }

  /** Makes one request on a connection of its own and writes its end to the record. */
  public static End request(
      Record record, int port, String requestClass, String id, int millis, String headers, String statement) {
    record.line("client: sends " + id + " " + requestClass);
    long begin = record.now();
    StringBuilder detail = new StringBuilder();
    End end = exchange(port, requestClass, id, millis, headers, statement, detail);
    record.line("client: " + id + " " + end + " after " + (record.now() - begin) + " ms " + detail);
    return end;
  }

  private static End exchange(
      int port,
      String requestClass,
      String id,
      int millis,
      String headers,
      String statement,
      StringBuilder detail) {
    HttpConnection connection;
    try {
      connection = new HttpConnection(port, millis);
    } catch (IOException e) {
      detail.append(e.getMessage());
      return End.NOT_SENT;
    }
    long begin = System.nanoTime();
    try {
      String all =
          "X-Correlation-Id: " + id + "\r\nX-Deadline-Ms: " + millis + "\r\n" + headers;
      connection.socket.setSoTimeout(left(begin, millis));
      HttpConnection.Answer answer =
          connection.call("POST", "/v1/" + requestClass, all, statement);
      int calls = 0;
      while (true) {
        detail.append(answer.status()).append(' ').append(answer.body());
        Matcher problem = PROBLEM.matcher(answer.body());
        boolean hasProblem = problem.find();
        if (answer.status() == 429
            || answer.status() == 503
            || (hasProblem && problem.group(1).equals("Full"))) {
          return End.REFUSED;
        }
        if (answer.status() != 200 || hasProblem) {
          return End.FAILED;
        }
        Matcher next = CONTINUE.matcher(answer.body());
        if (!next.find()) {
          return End.SERVED;
        }
        detail.setLength(0);
        answer = null;
        while (answer == null) {
          try {
            connection.socket.setSoTimeout(left(begin, millis));
            answer = connection.call("GET", next.group(1), "", "");
          } catch (SocketTimeoutException e) {
            throw e;
          } catch (IOException e) {
            if (++calls > 3) {
              throw e;
            }
            connection.close();
            connection = new HttpConnection(port, left(begin, millis));
          }
        }
      }
    } catch (IOException e) {
      detail.append(e);
      return End.LOST;
    } finally {
      try {
        connection.close();
      } catch (IOException e) {
        // It has ended.
      }
    }
  }

  private static int left(long beginNanos, int millis) throws SocketTimeoutException {
    long left = millis + SLACK_MS - (System.nanoTime() - beginNanos) / 1_000_000;
    if (left <= 0) {
      throw new SocketTimeoutException("no answer in time");
    }
    return (int) left;
  }
}
