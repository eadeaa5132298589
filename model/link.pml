/* expect: pass */
/* A call completes once, although its reply may be duplicated and may
   arrive after the caller has given up. */
chan replies = [2] of { byte };
bool open_call = true;
byte completed = 0;

inline finish()
{
    atomic {
        if
        :: open_call -> open_call = false; completed++
        :: else -> skip
        fi
    }
}

active proctype receiver()
{
    replies!1;
    if
    :: replies!1
    :: skip
    fi
}

active proctype caller()
{
    do
    :: replies?1 -> finish()
    :: timeout -> break
    od
}

active proctype expiry()
{
    finish()
}

active proctype observer()
{
    assert(completed <= 1)
}
