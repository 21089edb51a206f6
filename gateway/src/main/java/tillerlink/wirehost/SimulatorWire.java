package tillerlink.wirehost;

/** The names, codes and value indices of the events and actions on the simulator's wire. */
final class SimulatorWire {
  // Members of the objects for a batch and its reply.
  static final String CLOCK = "wall_us";
  static final String EVENTS = "inbox";
  static final String ACTIONS = "do";

  // Names of events.
  static final String DEFINE_LIST = "DefineList";
  static final String GATEWAY_STARTED = "Up";
  static final String GATEWAY_STOPPED = "Retire";
  static final String ENDPOINTS_CHANGED = "BackendsChanged";
  static final String REQUEST_ARRIVED = "Incoming";
  static final String RESPONSE_STARTED = "HeadReceived";
  static final String ATTEMPT_PROGRESS = "Change";
  static final String ATTEMPT_ENDED = "Reply";
  static final String CLIENT_DISCONNECTED = "Expired";
  static final String WAKEUP = "Timer";
  static final String MEMO = "Memo";
  static final String PONG = "Pong";

  // Names of actions.
  static final String UPDATE_PRIORITY_AND_GRANT = "Provide";
  static final String SEND_ATTEMPT = "Try";
  static final String CANCEL_ATTEMPT = "CallOff";
  static final String REJECT_REQUEST = "Decline";
  static final String FAIL_REQUEST = "RespondError";
  static final String SCHEDULE_WAKEUP = "Arm";
  static final String WATCH_ENDPOINTS = "KeepInformed";
  static final String LOG = "Log";
  static final String PANIC = "Panic";

  // Names of values, for error messages.
  static final String REQUEST_ID_NAME = "tid";
  static final String ATTEMPT_NAME = "seq_no";
  static final String MODE_NAME = "mode";

  /** The index of the gateway's number in every event except {@link #DEFINE_LIST}. */
  static final int GATEWAY = 1;

  /** The index of the request's id in every event about a request. */
  static final int REQUEST_ID = 2;

  private SimulatorWire() {}

  /** Indices of the values of {@link #DEFINE_LIST}. */
  static final class DefineList {
    static final int LIST_NUMBER = 1;
    static final int ENTRIES = 2;

    private DefineList() {}
  }

  /** Indices of the values of an entry in {@link #DEFINE_LIST}, and the codes of its status. */
  static final class ListEntry {
    static final int KIND = 0;
    static final int STARTED_AT = 1;
    static final int ZONE = 2;
    static final int STATUS = 3;
    static final int CELL = 4;
    static final int WEIGHT = 5;
    static final int ENGINE = 6;

    static final int STATUS_READY = 1;
    static final int STATUS_DRAINING = 2;

    private ListEntry() {}
  }

  /** Indices of the values of {@link #GATEWAY_STARTED}. */
  static final class GatewayStarted {
    static final int SEED = 2;
    static final int SETTINGS = 3;

    private GatewayStarted() {}
  }

  /** Indices of the values of {@link #ENDPOINTS_CHANGED}, and the codes of its modes. */
  static final class EndpointsChanged {
    static final int MODE = 2;
    static final int LIST_NUMBER = 4;

    static final int MODE_FAILED = 0;
    static final int MODE_CACHED = 1;
    static final int MODE_FULL = 3;

    private EndpointsChanged() {}
  }

  /** Indices of the values of {@link #REQUEST_ARRIVED}. */
  static final class RequestArrived {
    static final int TABLE_GROUP = 3;
    static final int REPEAT = 5;
    static final int REQUEST_CLASS = 6;
    static final int DEADLINE = 7;
    static final int KEY = 9;
    static final int ESTIMATE = 10;
    static final int MEMORY = 11;

    private RequestArrived() {}
  }

  /** Indices of the values of {@link #RESPONSE_STARTED}. */
  static final class ResponseStarted {
    static final int ATTEMPT = 5;

    private ResponseStarted() {}
  }

  /** Indices of the values of {@link #ATTEMPT_PROGRESS}, and the codes of its kinds. */
  static final class Progress {
    static final int LEVEL = 3;
    static final int KIND = 5;
    static final int ATTEMPT = 6;

    static final int KIND_PROGRESS = 1;
    static final int KIND_SPILLS = 2;
    static final int KIND_WAITS = 3;

    private Progress() {}
  }

  /** Indices of the values of {@link #ATTEMPT_ENDED}, and the names of its outcomes. */
  static final class AttemptEnded {
    static final int ATTEMPT = 3;
    static final int OUTCOME = 5;
    static final int DURATION = 6;
    static final int ANSWERED = 7;
    static final int RESOURCE_USAGE = 8;
    static final int LOAD_REPORT = 9;

    static final String COMPLETED = "completed";
    static final String SATURATED = "saturated";
    static final String OVERDUE = "overdue";
    static final String REFUSED_CONNECTION = "refused_conn";
    static final String SEVERED = "severed";
    static final String RECALLED = "recalled";
    static final String SUPERSEDED = "superseded";

    private AttemptEnded() {}
  }
}
