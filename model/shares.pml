/* expect: pass */
/* A rate share moves between its host and an owner. A lease starts at the
   last clock value that the host received from the owner, so that late
   messages cannot extend it. Grants end before the lease. The host uses its
   share again only when the lease and all grants must have ended. At no time
   may the tokens of the share be spendable both at the host and through the
   owner. */
#define LEASE 3
#define TTL 1
#define END 9

byte now = 0;

/* Host: the last clock value received from the owner, the time of its arrival,
   and the latest time at which a lease can end. */
byte echo = 0;
byte echo_at = 0;
byte held_until = 0;
bool own_token = false;

/* Owner: the end of the lease, and the end of a grant that a third host may
   spend. */
byte deadline = 0;
byte grant_until = 0;

/* Messages may be delayed without bound. */
chan leases = [1] of { byte };
chan stamps = [1] of { byte };

active proctype clock()
{
    do
    :: now < END -> now++
    :: now == END -> break
    od
}

active proctype host()
{
    do
    :: atomic { stamps?echo -> echo_at = now }
    :: atomic {
           echo > 0 && now < echo_at + LEASE && nfull(leases) ->
           own_token = false;
           if
           :: held_until < echo_at + LEASE -> held_until = echo_at + LEASE
           :: else -> skip
           fi;
           leases!echo
       }
    :: atomic {
           !own_token && now > 0 && now >= held_until ->
           own_token = true;
           assert(now >= grant_until)
       }
    :: now == END -> break
    od
}

active proctype owner()
{
    byte start;
    do
    :: atomic { now > 0 && nfull(stamps) -> stamps!now }
    :: atomic { leases?start -> deadline = start + LEASE; start = 0 }
    :: atomic {
           now + TTL < deadline && now >= grant_until ->
           grant_until = now + TTL;
           assert(!own_token)
       }
    :: now == END -> break
    od
}
