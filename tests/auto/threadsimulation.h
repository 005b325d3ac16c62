#pragma once

#include <chrono>
#include <condition_variable>
#include <exception>
#include <functional>
#include <memory>
#include <mutex>
#include <queue>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

/// Runs blocking code of several simulated threads in simulated time.
///
/// Each simulated thread is a real one, but only one of them runs at a time, in an order that
/// depends on simulated time alone: runs are reproducible, and data needs no locks. Time passes
/// only while all of them wait.
class ThreadSimulation
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Thrown by the wait functions at the end of the simulation.
    struct Ended
    {};

    ~ThreadSimulation() { end(); }

    TimePoint now() const { return now_; }

    /// Adds a simulated thread that begins to run \a body now. Called before run() or by a
    /// simulated thread.
    void spawn(std::function<void()> body)
    {
        auto task = std::make_unique<Task>();
        Task &added = *task;
        tasks_.push_back(std::move(task));
        schedule(added, now_);
        added.thread = std::thread([this, &added, run = std::move(body)] {
            try {
                added.waitForTurn();
                if (!isEnding_)
                    run();
            } catch (const Ended &) {
            } catch (...) {
                failure_ = std::current_exception();
            }
            added.isDone = true;
            giveTurnBack();
        });
    }

    /// Waits until \a time. Called by a simulated thread.
    void waitUntil(TimePoint time)
    {
        Task &task = *running_;
        schedule(task, time);
        giveTurnBack();
        task.waitForTurn();
        if (isEnding_)
            throw Ended();
    }

    void waitFor(std::chrono::milliseconds duration) { waitUntil(now_ + duration); }

    /// Wakes all simulated threads that wait in waitForChange().
    void notifyChange()
    {
        for (Task *task : std::exchange(changeWaiters_, {}))
            schedule(*task, now_);
    }

    /// Waits until notifyChange() is called, but not after \a deadline. Called by a simulated
    /// thread.
    void waitForChange(TimePoint deadline)
    {
        changeWaiters_.push_back(running_);
        waitUntil(deadline);
        std::erase(changeWaiters_, running_);
    }

    /// Runs until \a duration has passed or a simulated thread throws. Rethrows what it threw.
    void run(std::chrono::milliseconds duration)
    {
        const TimePoint until = now_ + duration;
        while (!failure_ && !queue_.empty() && queue_.top().time <= until) {
            const Turn turn = queue_.top();
            queue_.pop();
            if (turn.task->isDone || turn.number != turn.task->latestTurn)
                continue;
            now_ = std::max(now_, turn.time);
            resume(*turn.task);
        }
        end();
        if (failure_)
            std::rethrow_exception(failure_);
    }

private:
    struct Task
    {
        std::thread thread;
        std::mutex mutex;
        std::condition_variable turnGiven;
        bool hasTurn = false;
        bool isDone = false;
        std::uint64_t latestTurn = 0; ///< earlier ones in the queue are void

        void waitForTurn()
        {
            std::unique_lock lock(mutex);
            turnGiven.wait(lock, [this] { return hasTurn; });
            hasTurn = false;
        }
    };

    struct Turn
    {
        TimePoint time;
        std::uint64_t number = 0;
        Task *task = nullptr;

        bool operator<(const Turn &other) const
        {
            return std::tie(time, number) > std::tie(other.time, other.number);
        }
    };

    void schedule(Task &task, TimePoint time)
    {
        task.latestTurn = ++turnCount_;
        queue_.push({time, turnCount_, &task});
    }

    void resume(Task &task)
    {
        running_ = &task;
        {
            const std::lock_guard guard(task.mutex);
            task.hasTurn = true;
        }
        task.turnGiven.notify_one();
        std::unique_lock lock(mutex_);
        turnReturned_.wait(lock, [this] { return isReturned_; });
        isReturned_ = false;
    }

    void giveTurnBack()
    {
        {
            const std::lock_guard guard(mutex_);
            isReturned_ = true;
        }
        turnReturned_.notify_one();
    }

    void end()
    {
        isEnding_ = true;
        for (const auto &task : tasks_) {
            while (!task->isDone)
                resume(*task);
            if (task->thread.joinable())
                task->thread.join();
        }
    }

    TimePoint now_{std::chrono::hours(1)};
    std::vector<std::unique_ptr<Task>> tasks_;
    std::priority_queue<Turn> queue_;
    std::uint64_t turnCount_ = 0;
    std::vector<Task *> changeWaiters_;
    Task *running_ = nullptr;
    bool isEnding_ = false;
    std::exception_ptr failure_;
    std::mutex mutex_; ///< guards isReturned_
    std::condition_variable turnReturned_;
    bool isReturned_ = false;
};
