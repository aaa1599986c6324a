"""Tuning constants of the decision modules, with their units."""

LENGTH_POOL_BOUNDS_US = (80_000_000, 160_000_000)  # us: bounds between the length pools
POOL_COUNT = len(LENGTH_POOL_BOUNDS_US) + 1
DEFAULT_LENGTH_POOL = 1  # pool of a session without a valid length hint
DEFAULT_POOL_LENGTHS_US = (40e6, 120e6, 240e6)  # us: length of a pool without hints: the middle of its range
DEFAULT_SESSION_LENGTH_US = 30_000_000  # us: mean session length before any hint is received
POPULARITY_WINDOW_US = 60_000_000  # us: length hints count toward popularity for this time
POOL_ENFORCEMENT_LOAD = 0.80  # share of a link: pools limit sessions only above this load

MAX_LINK_LOAD = 0.96  # share of a link that may be reserved: reported sizes and rates are inexact
MAX_QUEUE_WAIT_US = 1_000_000  # us: maximum time in the queue before a rejection
REJECTION_RETRY_AFTER_US = 1_000_000  # us: retry_after of a rejection; 0.4 s and 2 s served fewer sessions
REEVALUATION_BATCH_SIZE = 64  # queued sessions evaluated again in one call, at most
EXAMINED_SERVERS_LIMIT = 8_192  # servers examined in one call for new sessions, and again for older ones
QUEUE_POLL_INTERVAL_US = 100_000  # us: interval of queue evaluations: free capacity changes more slowly
DEADLINE_MARGIN_US = 20_000  # us: answers are sent this long before a deadline: two ticks of a broker
TENANT_RATE_WINDOW_US = 5_000_000  # us: window for counting requests: a burst is not an excess

INITIAL_FREE_LOAD = 0.45  # share of a link: initial load from which the step of least value per kB is denied
MIN_FREE_LOAD = 0.35  # lower bound: lower values gave no improvement
MAX_FREE_LOAD = 0.75  # upper bound: higher values caused shortfalls on links
FREE_LOAD_RISE = 0.30  # rise per session turnover
FREE_LOAD_FALL = 3.0  # fall per session turnover of shortfall, times the fraction of own sessions on the link
PRIORITY_WEIGHT_EXPONENT = 0.5  # of a priority weight: below 1 the worst-served class still counts
SHORTFALL_SHARE = 0.98  # delivered share below which a link has a shortfall: value is lost from here
LOWER_RUNGS_SHARE = 0.97  # rungs are lowered below this delivered share, to reach it: a change costs a second
RAISE_DELAY_INTERVALS = 1.8  # notification intervals without shortfall before a raise: longer than their gaps
MIN_RAISE_GAIN = 2.0  # minimum gain of a raise as a multiple of its cost: length hints are rough
SHORTFALL_INTERVAL_US = 1_000_000  # us: interval of notifications from a server with a shortfall

STALLED_SHARE = 0.3  # delivered share below which a server has stalled: not a load reading
STALE_INTERVALS = 1.5  # notification intervals after which one counts as missing and a reading decays
UPLINK_SIZE_LEARNING_RATE = 0.5  # weight of a new reading of an uplink's capacity
UPLINK_SIZE_GROWTH_PER_S = 0.02  # growth per second while busy without shortfall: a slow probe
UPLINK_GROWTH_DELAY_US = 3_000_000  # us: time without shortfall before growth: notifications are delayed
DEFAULT_NOTIFICATION_INTERVAL_US = 3_300_000  # us: load notification interval if none is configured
READING_FADE_US = 10_000_000  # us: decay time of a stale reading to the average: sessions turn over in it
MIN_AVERAGED_LOAD = 0.05  # share of a link: minimum load in the average: idle links do not dominate it
UNKNOWN_LINK_LOAD = 0.6  # share of a link: busy; assumed without readings, or with those of full links only

BASE_EJECTION_US = 1_000_000  # us: first ejection; doubled for each further ejection
MAX_EJECTION_US = 8_000_000  # us: maximum ejection: the time a machine takes to return
CONSECUTIVE_FAILURES_LIMIT = 3  # failures until a live server is ejected: bad requests fail singly, anywhere
FULL_SERVER_BACKOFF_US = 500_000  # us: pause of a server that answers full, and further wait of its session
INITIAL_SETUP_TIME_US = 100_000  # us: assumed set-up time before the first measurement
SETUP_TIME_MEAN_WEIGHT = 1 / 8  # of a new measurement in the mean, as for TCP round-trip times (RFC 6298)
SETUP_TIME_DEVIATION_WEIGHT = 1 / 4  # of a new measurement in the mean deviation, as in RFC 6298
SETUP_TIMEOUT_DEVIATIONS = 4  # mean deviations added to the mean in a time-out, as in RFC 6298
MIN_ATTEMPT_TIMEOUT_US = 300_000  # us: minimum attempt time-out, above the slowest normal set-up
START_REPORT_DELAY_US = 5_000_000  # us: delay until a new broker is notified of recent server starts
SLOW_START_BUDGET_SHARE = 0.6  # share of the slow-start budget in use; the rest allows for random variation
CROSS_ZONE_LOAD_PER_PRICE = 2.0  # load added per unit of price; 4 saved more, but balanced load worse
PLACEMENT_JITTER = 0.15  # share of a link: random part of the choice: brokers do not all choose one server

MAX_HINT_RAISE = 0.05  # share of a link: maximum increase of its load by hints
MAX_HINT_LOWERING = 0.02  # share of a link: maximum decrease of its load by hints: this error costs more
HINT_LIFETIME_US = 4_000_000  # us: lifetime of a hint, about the interval of load notifications
HINT_TOLERANCE = 0.10  # share of a link: deviation up to which a server's estimate agrees with a reading
MAX_HINT_SOURCES = 4_096  # sources with stored trust; the least recently compared is dropped first
TRUST_GAIN = 0.25  # added to a trust value (0 to 1) if a reading agrees
TRUST_DECAY = 0.5  # factor applied to a trust value if a reading disagrees
SUFFICIENT_BUFFER_S = 2.0  # s: a player with this much buffered and no stall has no shortage
