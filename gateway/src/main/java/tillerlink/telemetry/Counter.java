package tillerlink.telemetry;

/** The counters of a gateway, with the metric names and help texts that they are exposed with. */
public enum Counter {
  REQUESTS_ACCEPTED("requests_accepted_total", "Requests accepted from clients."),
  REQUESTS_ANSWERED(
      "requests_answered_total", "Requests whose result was made ready for the client."),
  REQUESTS_REJECTED("requests_rejected_total", "Requests rejected, by reason."),
  REQUESTS_FAILED("requests_failed_total", "Requests failed, by reason."),
  REQUESTS_CANCELLED(
      "requests_cancelled_total",
      "Requests whose client cancelled or disconnected before the answer."),
  ATTEMPTS_ORDERED("attempts_ordered_total", "Attempts that the policy ordered."),
  ATTEMPTS_REPEATED("attempts_repeated_total", "Attempts after a request's first."),
  ATTEMPTS_WRITTEN("attempts_written_total", "Attempts written to a connection."),
  ATTEMPTS_BLOCKED(
      "attempts_blocked_total", "Attempts not written, by the verdict that forbade it."),
  ATTEMPTS_ENDED("attempts_ended_total", "Attempts that ended, by outcome."),
  CLIENT_CONNECTIONS_ENDED(
      "client_connections_ended_total", "Client connections that ended, by cause."),
  ENGINE_CONNECTIONS_ENDED(
      "engine_connections_ended_total", "Engine connections that ended, by cause."),
  DISCOVERY_QUERIES("discovery_queries_total", "Queries sent to the discovery service."),
  DISCOVERY_ANSWERS("discovery_answers_total", "Usable answers of the discovery service."),
  DISCOVERY_UNUSABLE_ANSWERS(
      "discovery_unusable_answers_total", "Datagrams of the discovery service that were dropped."),
  DISCOVERY_SOCKETS_REPLACED(
      "discovery_sockets_replaced_total",
      "Times the socket to the discovery service was replaced."),
  PAUSES("process_pauses_total", "Times the process was paused for over 0.1 s."),
  INVARIANT_VIOLATIONS(
      "invariant_violations_total",
      "Writes and answers that violated an invariant, by invariant; expected to stay 0.");

  private static final String PREFIX = "tillerlink_";

  /** The metric name, prefix included, in the exposition. */
  public final String exposedName;

  /** The help text of the metric, a single sentence. */
  public final String help;

  Counter(String name, String help) {
    this.exposedName = PREFIX + name;
    this.help = help;
  }
}
