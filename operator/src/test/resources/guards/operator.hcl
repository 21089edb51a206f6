# The operator's file of tillerlink, with every part that there is and what holds where it is left out.
# It does nothing unless it is named: bin/tillerlink check deploy/operator.hcl, replay --operator deploy/operator.hcl,
# serve --operator deploy/operator.hcl. Texts stand in quotes; nothing is worked out here.

# How the log looks. form: text, or json for one object a line. level: debug, info, warn, error.
log {
  form  = "text"
  level = "info"
}

# Engines that speak HTTP/2, by prior knowledge and as docs/http2-wire.md says; the others are reached over engine lines.
# Without this part all are. Either kinds, or all = true.
http2 {
  kinds        = ["big-16"]
  streams_most = 256         # on one connection, whatever an engine allows; left out: 256
}

# What a gateway remembers over a restart, for a start with discovery down: the engines and when they were last told. Each
# gateway has a folder of its own in this one. Without this part nothing is kept.
store {
  folder    = "/var/lib/tillerlink"
  too_old_h = 24             # from this age on nothing that is remembered is trusted
  memory_mb = 16             # of what is kept; on disk some three times as much
}

# The fleet that this gateway belongs to. Without this part it knows of no other gateway, and nothing is sent to any.
# Addresses are host:port with the host written out; they are not looked up.
members {
  fleet       = "newsroom"   # what comes from a fleet of another name is not taken
  site        = "north"      # where this gateway stands
  listen      = "10.1.0.7:7400" # UDP; the others are told this address
  seeds       = ["10.1.0.7:7400", "10.2.0.7:7400"] # where others may be met first; its own may stand among them
  secret_file = "/etc/tillerlink/fleet.secret" # 16 bytes at the least, the same for all; left out: peers are not authenticated
  probe_ms    = 500          # between two probes
  reach "south-1" {          # where a translator stands between: how this gateway reaches that one
    at = "10.9.0.2:7400"
  }
}

# Logs of channels that all gateways hold alike. Needs members and store. Without this part there are none.
channels {
  sites          = ["north", "south", "studio"] # all that are counted in; an entry is stable once each was heard beyond it
  voters         = ["north-1", "south-1", "studio-1"] # one gateway of each site; left out: those called SITE-1
  absent_after_s = 300       # a site not heard of for so long is gone on without
  ahead_ms       = 60000     # how far a stamp may run ahead of this gateway's clock
  memory_mb      = 64        # of all channels together
  disk_mb        = 1024      # the same on disk
  channels_most  = 64
}

# Prepared statements that are kept right while schemas change. Needs members and store. Without this part none are taken.
statements {
  voters   = ["north-1", "north-2", "south-1"] # a majority of these gateways grants leases; an odd number of them
  lease_ms = 3000
  drift    = 0.01            # by which share two clocks may run apart at the most
  fence    = false           # whether engines check the versions of schemas themselves
}

# A layout of traces beside those that are built in. Columns are named in the file's order, or by its header;
# where a column is wanted, its name or its place from 1 on will do.
layout "batch-log" {
  delimiter  = ";"
  header     = true
  time_unit  = "ms"          # us, ms or s
  start      = "begin"
  end        = "finish"
  cores      = "cpu"         # left out: one core
  cores_unit = 0.01          # cores in the file's unit
  memory     = "mem"
  job        = "job"
  owner      = "team"        # left out: the job; tells the table group
  # copies = "n"             # how often the row ran
  # unknown_time = 1e18 is not read; write numbers out: from such a time on a row has none that is known
  only {                     # rows for which all of these hold
    column = "state"
    in     = ["done"]        # or not_in, or least and most
  }
}

# One where a task has a row for its start and one for its end.
layout "events" {
  columns   = ["at", "job", "task", "event", "cpu"]
  time_unit = "us"
  start     = "at"
  cores     = "cpu"
  job       = "job"
  task      = "task"
  pairs {
    column = "event"
    starts = ["START"]
    ends   = ["FINISH"]
    breaks = ["KILL", "EVICT"]
  }
}

# What a replay is played on. Left out: twelve engines of two kinds in three zones.
fleet {
  gateways      = 3
  sockets       = 4096       # descriptors of one gateway
  zones         = ["east", "west"]
  notes_every_s = 1.5
  drain_grace_s = 0.8
  hops_most     = 4
  come_back_s   = 0.8        # how long a client that is turned back is told to stay away; 0 tells nothing
  kind "small-8" {
    cores     = 8
    memory_mb = 20000
  }
  kind "big-16" {
    cores     = 16
    memory_mb = 40000
  }
  engines "a" {              # a1, a2, ...
    kind  = "small-8"
    zone  = "east"
    count = 5
  }
  engines "b" {
    kind  = "small-8"
    zone  = "west"
    count = 4
  }
  engines "c" {
    kind  = "big-16"
    zone  = "west"
    count = 3
  }
  cold {                     # an engine just started; sent more than fall_multiple times what it can do, it falls over
    start_capacity = 0.25
    warm_within_s  = 10
    fall_multiple  = 3.5
    fall_s         = 2
  }
  budget {                   # further hops of a gateway in any such span
    floor  = 4
    ratio  = 0.15
    span_s = 12
  }
}

# Tracks, and which rows become their submissions: the first whose tests all hold takes a row. effect: pure,
# receipted or effectful. The work of each is scaled so that its median is as stated.
track "intake" {
  effect         = "receipted"
  threads        = 2
  soft_limit_ms  = 4000
  hard_stop_ms   = 18000
  payoff         = 4
  late_payoff    = 2
  mark_kept_ms   = 18000     # how long engines know its mark; left out: for its deadline
  median_work_ms = 500
  rows {
    column = "team"
    in     = ["etl", "import"]
  }
}

track "sheet" {
  effect         = "pure"
  threads        = 3
  soft_limit_ms  = 2500
  hard_stop_ms   = 24000
  payoff         = 3
  late_payoff    = 1.2
  kinds          = ["small-8"] # bound to these on every hop
  median_work_ms = 600
  rows {
    column = "cpu"
    least  = 200
  }
}

track "look" {
  effect         = "pure"
  soft_limit_ms  = 900
  hard_stop_ms   = 4500
  payoff         = 1
  late_payoff    = 0.25
  median_work_ms = 80
}

# What goes wrong, or is done, in a replay. what: slow, silent, gone, drained, replaced (engines), killed (gateways,
# n0, n1, ...). lasts_s: how long, where it passes; how long a drained engine goes on, a killed gateway stays away.
trouble {
  at_s    = 20
  what    = "slow"
  whom    = "a2"
  lasts_s = 10
  factor  = 4
}

trouble {
  at_s    = 40
  what    = "replaced"
  whom    = "b1"
  lasts_s = 3
}

# What a replay is unless its options say otherwise.
replay {
  load           = 0.6       # share of the fleet's cores
  scale          = "time"    # or jobs, or both
  window_s       = 3600      # of trace time, in which rows may stand out of order
  estimate_error = 0.4       # sigma by which estimates miss
  bad_most       = 0.1       # share of bad rows above which it ends with exit code 1
  seed           = 1
}
